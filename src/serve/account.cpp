#include "serve/account.hpp"

#include "base/logging.hpp"
#include "serve/host.hpp"

#include <chrono>
#include <string>

namespace hawthornspur::serve
{

namespace
{

std::string in_milliseconds(core::duration value)
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

void log_call(call const& c, result_code code, core::duration total)
{
    auto const severity =
        code == result_code::ok ? logging::level::debug : logging::level::info;
    if (!logging::is_enabled(severity))
    {
        return;
    }
    auto const& classified = c.m_classified;
    logging::write(
        severity, "serve.account", "call ended",
        {{"request", std::to_string(c.m_id.m_value)},
         {"request_id", c.m_accepted.m_request_id},
         {"service", c.m_accepted.m_service},
         {"kind", classified.m_kind == nullptr ? std::string()
                                               : classified.m_kind->m_name},
         {"zone", c.m_pool.m_zone},
         {"generation",
          classified.m_configuration == nullptr
              ? std::string()
              : std::to_string(classified.m_configuration->m_generation)},
         {"attempts", std::to_string(c.m_attempts_made)},
         {"last_target", c.m_last_target},
         {"returned_spills", std::to_string(c.m_spills_returned)},
         {"origin", std::string(to_string(c.m_origin))},
         {"code", std::to_string(static_cast<unsigned>(code))},
         {"name", std::string(info(code).m_name)},
         {"total_ms", in_milliseconds(total)}});
}

} // namespace

void end_call(entry_host& h, call& c, result_code code)
{
    auto const total = now() - c.m_arrived;
    // Names that are not configured would let callers create any number of
    // counters.
    auto const& service = c.m_classified.m_service == nullptr
                              ? std::string("unknown")
                              : c.m_classified.m_service->m_name;
    h.m_metrics.count_result(service, code);
    h.m_metrics.record_call(service, total);
    if (code == result_code::ok && c.m_target_time.count() > 0)
    {
        h.m_metrics.record_added(total - c.m_target_time);
    }
    log_call(c, code, total);
    h.m_calls.erase(c.m_id);
}

} // namespace hawthornspur::serve
