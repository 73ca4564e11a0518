#include "serve/stop.hpp"

#include "base/logging.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"

#include <algorithm>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Time in which the last answers and messages are sent from socket buffers.
constexpr auto linger_time = std::chrono::milliseconds(200);

/// Time between the end of the stop and the platform's kill signal.
constexpr auto kill_margin = std::chrono::milliseconds(500);

/// Share of the stop time in which new requests are accepted. The rest is for
/// requests in flight: the longest deadline of a route is a third of the usual
/// 6 s.
constexpr double leaving_share = 0.6;

/// Longest time that the stop may take: the limit in the settings, or less if
/// the platform ends the process earlier.
core::duration max_stop_time(entry_host const& host)
{
    auto const& grace = host.m_deployment_bounds.m_stop_grace;
    return grace ? std::min(host.m_settings.m_stop_bound,
                            std::max(core::duration(0), *grace - kill_margin))
                 : host.m_settings.m_stop_bound;
}

/// Time in which callers with earlier address answers are served. The rest of
/// the stop time is for requests in flight.
core::duration leaving_time(entry_host const& host)
{
    auto const lifetime =
        host.m_configuration.m_in_force == nullptr
            ? core::duration(0)
            : host.m_configuration.m_in_force->m_address_lifetime;
    return std::min(lifetime, std::chrono::duration_cast<core::duration>(
                                  max_stop_time(host) * leaving_share));
}

void fail_remaining_calls(entry_host& host)
{
    std::vector<core::request_id> ids;
    for (auto const& [id, call] : host.m_calls)
    {
        ids.push_back(id);
    }
    for (auto const id : ids)
    {
        if (auto* call = find_call(host, id))
        {
            bool const may_have_run =
                !call->m_attempts.empty() || call->m_forward.has_value();
            fail_call(host, *call,
                      may_have_run ? result_code::stop_bound_reached
                                   : result_code::host_leaving);
        }
    }
    logging::write(logging::level::warn, "serve.stop", "stop bound reached",
                   {{"calls_cut", std::to_string(ids.size())}});
}

void finish_stop(entry_host& host)
{
    host.m_stop_stage = stop_stage::finished;
    host.m_stop_deadline = now() + linger_time;
    logging::write(logging::level::info, "serve.stop", "all calls have ended");
}

} // namespace

void begin_stop(entry_host& host, std::string const& reason)
{
    if (host.m_stop_stage != stop_stage::running)
    {
        logging::write(logging::level::warn, "serve.stop",
                       "stop already in progress", {{"reason", reason}});
        return;
    }
    logging::write(logging::level::info, "serve.stop", "planned stop started",
                   {{"reason", reason}});
    host.m_stop_stage = stop_stage::leaving;
    host.m_stop_deadline = now() + max_stop_time(host);
    host.m_address_answers_expire = now() + leaving_time(host);
    announce_self(host);
}

void advance_stop(entry_host& host)
{
    if (host.m_stop_stage == stop_stage::running)
    {
        return;
    }
    if (host.m_stop_stage == stop_stage::finished)
    {
        if (now() >= host.m_stop_deadline)
        {
            host.m_loop->stop();
        }
        return;
    }
    if (now() >= host.m_stop_deadline)
    {
        fail_remaining_calls(host);
        finish_stop(host);
        return;
    }
    if (host.m_stop_stage == stop_stage::leaving &&
        now() >= host.m_address_answers_expire)
    {
        host.m_stop_stage = stop_stage::finishing;
        host.m_caller_server->close_listener();
    }
    if (host.m_stop_stage == stop_stage::finishing && host.m_calls.empty() &&
        host.m_incoming_forwards.empty() && host.m_outgoing_answers.empty())
    {
        finish_stop(host);
    }
}

} // namespace hawthornspur::serve
