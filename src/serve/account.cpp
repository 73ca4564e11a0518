#include "serve/account.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "serve/host.hpp"

#include <chrono>
#include <string>

namespace hawthornspur::serve
{

namespace
{

std::string format_milliseconds(core::duration value)
{
    using std::chrono::duration;
    return std::to_string(duration<double, std::milli>(value).count());
}

std::string_view to_string(call_origin origin)
{
    switch (origin)
    {
    case call_origin::caller:
        return "caller";
    case call_origin::forwarded_to_owner:
        return "forwarded_to_owner";
    case call_origin::spilled:
        return "spilled";
    case call_origin::forwarded_to_home:
        break;
    }
    return "forwarded_to_home";
}

std::string_view to_string(lookup_method method)
{
    switch (method)
    {
    case lookup_method::by_route:
        return "route";
    case lookup_method::by_service:
        return "service";
    case lookup_method::by_kind:
        break;
    }
    return "kind";
}

/// Bounds the length of a line; routes match shorter prefixes.
constexpr std::size_t max_logged_path = 120;

/// Host name and path of a request, by which its route is found.
std::string format_path(net::http_request const& request)
{
    auto const host = net::find_header(request.m_headers, "Host");
    auto const path =
        std::string_view(request.m_uri).substr(0, request.m_uri.find('?'));
    return (std::string(host.value_or("")) + std::string(path))
        .substr(0, max_logged_path);
}

void log_call(active_call const& call, result_code code, core::duration total)
{
    auto const severity =
        code == result_code::ok ? logging::level::debug : logging::level::info;
    if (!logging::is_enabled(severity))
    {
        return;
    }
    auto const& classified = call.m_classified;
    logging::write(
        severity, "serve.account", "call ended",
        {{"request", std::to_string(call.m_id.m_value)},
         {"request_id", call.m_accepted.m_request_id},
         {"service", classified.m_service == nullptr
                         ? call.m_accepted.m_service
                         : classified.m_service->m_name},
         {"kind", classified.m_kind == nullptr ? std::string()
                                               : classified.m_kind->m_name},
         {"zone", call.m_pool.m_zone},
         {"generation",
          classified.m_configuration == nullptr
              ? std::string()
              : std::to_string(classified.m_configuration->m_generation)},
         {"path", format_path(call.m_accepted.m_request)},
         {"passes", std::to_string(call.m_classification.m_passes)},
         {"looked_up_by",
          call.m_classification.m_passes == 0
              ? std::string()
              : std::string(to_string(call.m_classification.m_method))},
         {"last_generation",
          std::to_string(call.m_classification.m_generation)},
         {"attempts", std::to_string(call.m_attempt_count)},
         {"last_target",
          call.m_tried_targets.empty() ? "" : call.m_tried_targets.back()},
         {"returned_spills", std::to_string(call.m_spill_refusals)},
         {"origin", std::string(to_string(call.m_origin))},
         {"code", std::to_string(static_cast<unsigned>(code))},
         {"name", std::string(info(code).m_name)},
         {"total_ms", format_milliseconds(total)}});
}

} // namespace

void end_call(entry_host& host, active_call& call, result_code code)
{
    auto const found = host.m_calls.find(call.m_id);
    if (found == host.m_calls.end())
    {
        return;
    }
    auto const total = now() - call.m_arrival_time;
    // Unconfigured names are not used as labels: callers could create any
    // number of counters.
    auto const& service = call.m_classified.m_service == nullptr
                              ? std::string("unknown")
                              : call.m_classified.m_service->m_name;
    host.m_metrics.count_result(service, code);
    host.m_metrics.record_call_time(service, total);
    if (code == result_code::ok && call.m_target_time.count() > 0)
    {
        host.m_metrics.record_added_time(total - call.m_target_time);
    }
    log_call(call, code, total);
    diagnostics::record_activity("call.end", call.m_id.m_value);
    host.m_ended_calls.push_back(std::move(found->second));
    host.m_calls.erase(found);
    host.m_retirement_timer->start(core::duration(0));
}

} // namespace hawthornspur::serve
