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

void log_call(call const& c, result_code code, core::duration total)
{
    auto const severity =
        code == result_code::ok ? logging::level::debug : logging::level::info;
    if (!logging::is_enabled(severity))
    {
        return;
    }
    auto const id =
        net::find_header(c.m_accepted.m_request.m_headers, "X-Request-Id");
    logging::write(severity, "serve.account", "call ended",
                   {{"request", std::to_string(c.m_id.m_value)},
                    {"request_id", std::string(id.value_or(""))},
                    {"service", c.m_accepted.m_service},
                    {"code", std::to_string(static_cast<unsigned>(code))},
                    {"name", std::string(info(code).m_name)},
                    {"total_ms", in_milliseconds(total)}});
}

} // namespace

void end_call(host& h, call& c, result_code code)
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
