#include "serve/classify.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

bool matches(core::kind_config const& kind, net::http_request const& request)
{
    return (kind.m_method.empty() || kind.m_method == request.m_method) &&
           request.m_uri.starts_with(kind.m_path_prefix);
}

/// Service and kind of a request.
struct destination
{
    core::service_config const* m_service = nullptr;
    core::kind_config const* m_kind = nullptr;
};

result<destination> find_by_kind(core::configuration const& document,
                                 std::string const& service,
                                 std::string const& kind)
{
    destination found;
    found.m_service = core::find_service(document, service);
    if (found.m_service == nullptr)
    {
        return make_error(result_code::unknown_service,
                          "no service is named " + service);
    }
    auto const& kinds = found.m_service->m_kinds;
    auto const named = std::find_if(kinds.begin(), kinds.end(),
                                    [&](core::kind_config const& candidate)
                                    { return candidate.m_name == kind; });
    if (named == kinds.end())
    {
        return make_error(result_code::unknown_kind,
                          "the service has no kind " + kind);
    }
    found.m_kind = &*named;
    return found;
}

result<destination> find_by_route(core::configuration const& document,
                                  net::http_request const& request,
                                  core::part_selector& selector)
{
    auto const host = net::find_header(request.m_headers, "Host");
    auto const* route =
        core::match_route(document, host.value_or(""), request.m_uri);
    if (route == nullptr)
    {
        return make_error(document.m_has_unknown_routes
                              ? result_code::entry_left_out
                              : result_code::unknown_kind,
                          "no route matches " + request.m_uri);
    }
    if (route->m_parts.empty())
    {
        return make_error(result_code::entry_left_out,
                          "the route of " + request.m_uri + " was left out");
    }
    return find_by_kind(document, core::choose_part(selector, *route),
                        route->m_name);
}

result<destination> find_by_service(core::configuration const& document,
                                    std::string const& service,
                                    net::http_request const& request)
{
    destination found;
    found.m_service = core::find_service(document, service);
    if (found.m_service == nullptr)
    {
        return make_error(result_code::unknown_service,
                          "no service is named " + service);
    }
    auto const& kinds = found.m_service->m_kinds;
    auto const kind = std::find_if(kinds.begin(), kinds.end(),
                                   [&](core::kind_config const& candidate)
                                   { return matches(candidate, request); });
    if (kind == kinds.end())
    {
        return make_error(result_code::unknown_kind, "no kind matches " +
                                                         request.m_method +
                                                         " " + request.m_uri);
    }
    found.m_kind = &*kind;
    return found;
}

result<destination> find_destination(core::configuration const& document,
                                     accepted_request const& accepted,
                                     core::part_selector& selector)
{
    switch (choose_lookup(document, accepted))
    {
    case lookup_method::by_kind:
        return find_by_kind(document, accepted.m_service, accepted.m_kind);
    case lookup_method::by_route:
        return find_by_route(document, accepted.m_request, selector);
    case lookup_method::by_service:
        break;
    }
    return find_by_service(document, accepted.m_service, accepted.m_request);
}

} // namespace

lookup_method choose_lookup(core::configuration const& document,
                            accepted_request const& accepted)
{
    if (!accepted.m_kind.empty())
    {
        return lookup_method::by_kind;
    }
    bool const has_routes =
        !document.m_routes.empty() || document.m_has_unknown_routes;
    return accepted.m_service.empty() && has_routes ? lookup_method::by_route
                                                    : lookup_method::by_service;
}

result<classified_request>
classify_request(accepted_request const& accepted,
                 std::shared_ptr<core::configuration const> configuration,
                 core::part_selector& selector, std::string const& own_zone,
                 core::time_point now)
{
    classified_request classified;
    auto const& request = accepted.m_request;
    auto const found = find_destination(*configuration, accepted, selector);
    if (!has_value(found))
    {
        return failure(found);
    }
    classified.m_service = value(found).m_service;
    auto const* kind = value(found).m_kind;
    if (request.m_body.size() > classified.m_service->m_max_body_bytes)
    {
        return make_error(result_code::body_too_large,
                          "the request body exceeds the limit of the service");
    }
    if (accepted.m_depth > configuration->m_max_depth)
    {
        return make_error(result_code::depth_limit_reached,
                          "the chain of calls is too deep");
    }
    classified.m_kind = kind;
    // The routing table has an entry for each zone of a caller, so it must not
    // grow with unknown names.
    classified.m_zone =
        core::find_zone(*configuration, accepted.m_zone) == nullptr
            ? own_zone
            : accepted.m_zone;
    auto const time_left = std::min(
        kind->m_deadline, accepted.m_time_left.value_or(kind->m_deadline));
    classified.m_deadline = now + time_left;
    if (kind->m_target_latency > core::duration(0))
    {
        classified.m_objective = now + kind->m_target_latency;
    }
    classified.m_configuration = std::move(configuration);
    return classified;
}

bool replace_document(classified_request& classified,
                      std::shared_ptr<core::configuration const> document)
{
    auto const found = find_by_kind(*document, classified.m_service->m_name,
                                    classified.m_kind->m_name);
    if (!has_value(found))
    {
        return false;
    }
    classified.m_service = value(found).m_service;
    classified.m_kind = value(found).m_kind;
    classified.m_configuration = std::move(document);
    return true;
}

} // namespace hawthornspur::serve
