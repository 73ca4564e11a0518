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

} // namespace

result<classified_request>
classify_request(accepted_request const& accepted,
                 std::shared_ptr<core::configuration const> configuration,
                 core::time_point now)
{
    classified_request classified;
    auto const& request = accepted.m_request;
    classified.m_service =
        core::find_service(*configuration, accepted.m_service);
    if (classified.m_service == nullptr)
    {
        return make_error(result_code::unknown_service,
                          "no service is named " + accepted.m_service);
    }
    auto const& kinds = classified.m_service->m_kinds;
    auto const kind = std::find_if(kinds.begin(), kinds.end(),
                                   [&](core::kind_config const& candidate)
                                   { return matches(candidate, request); });
    if (kind == kinds.end())
    {
        return make_error(result_code::unknown_kind, "no kind matches " +
                                                         request.m_method +
                                                         " " + request.m_uri);
    }
    if (request.m_body.size() > classified.m_service->m_max_body_bytes)
    {
        return make_error(result_code::body_too_large,
                          "the body exceeds the cap of the service");
    }
    if (accepted.m_depth > configuration->m_max_depth)
    {
        return make_error(result_code::depth_limit_reached,
                          "the chain of calls is too deep");
    }
    classified.m_kind = &*kind;
    classified.m_kind_id = {static_cast<std::uint32_t>(kind - kinds.begin())};
    auto const time_left = std::min(
        kind->m_deadline, accepted.m_time_left.value_or(kind->m_deadline));
    classified.m_deadline = now + time_left;
    classified.m_configuration = std::move(configuration);
    return classified;
}

} // namespace hawthornspur::serve
