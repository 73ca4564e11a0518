#include "serve/stop.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"

#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Time in which the last answers and messages are sent after a cut.
constexpr auto linger_time = std::chrono::milliseconds(200);

core::stop_limits find_stop_limits(entry_host const& host)
{
    auto const& document = host.m_configuration.m_in_force;
    return {host.m_settings.m_stop_bound, host.m_deployment_bounds.m_stop_grace,
            document == nullptr ? core::duration(0)
                                : document->m_address_lifetime};
}

void log_cut_call(active_call const& call)
{
    logging::write(
        logging::level::warn, "serve.stop", "call cut by the stop",
        {{"request_id", call.m_accepted.m_request_id},
         {"age_ms", milliseconds_text(now() - call.m_arrival_time)},
         {"left_ms", milliseconds_text(call.m_classified.m_deadline - now())},
         {"attempts", std::to_string(call.m_attempts.size())},
         {"forwarded_to", call.m_forward ? call.m_forward->m_host_name : ""}});
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
            log_cut_call(*call);
            fail_call(host, *call,
                      may_have_run ? result_code::stop_bound_reached
                                   : result_code::host_leaving);
        }
    }
    logging::write(logging::level::warn, "serve.stop", "stop bound reached",
                   {{"calls_cut", std::to_string(ids.size())}});
}

/// Whether answers to callers or messages to other hosts are still in buffers
/// of this process.
bool has_unsent_bytes(entry_host const& host)
{
    return host.m_caller_server->unfinished_answers() > 0 ||
           host.m_peer_network->queued_bytes() > 0;
}

void finish_stop(entry_host& host)
{
    host.m_stop_stage = stop_stage::finished;
    host.m_exit_time = now() + linger_time;
    logging::write(logging::level::info, "serve.stop", "all calls have ended");
}

} // namespace

bool is_accepted(entry_host const& host, active_call const& call) noexcept
{
    if (host.m_stop_stage == stop_stage::finished)
    {
        return false;
    }
    return host.m_stop_stage == stop_stage::running ||
           core::is_accepted(host.m_stop_schedule, call.m_arrival_time,
                             call.m_classified.m_deadline);
}

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
    host.m_stop_schedule =
        core::make_stop_schedule(find_stop_limits(host), now());
    announce_self(host);
    announce_to_linked_hosts(host);
}

void advance_stop(entry_host& host)
{
    if (host.m_stop_stage == stop_stage::running)
    {
        return;
    }
    if (host.m_stop_stage == stop_stage::finished)
    {
        bool const is_done = host.m_calls.empty() && !has_unsent_bytes(host);
        if (now() >= host.m_exit_time &&
            (is_done || now() >= host.m_stop_schedule.m_cut + linger_time))
        {
            host.m_loop->stop();
        }
        return;
    }
    if (now() >= host.m_stop_schedule.m_cut)
    {
        fail_remaining_calls(host);
        finish_stop(host);
        return;
    }
    if (host.m_stop_stage == stop_stage::leaving &&
        now() >= host.m_stop_schedule.m_address_answers_expire)
    {
        host.m_stop_stage = stop_stage::finishing;
        host.m_caller_server->close_listener();
    }
    bool const has_calls = !host.m_calls.empty() ||
                           !host.m_incoming_forwards.empty() ||
                           !host.m_outgoing_answers.empty();
    if (host.m_stop_stage == stop_stage::finishing && !has_calls &&
        !has_unsent_bytes(host))
    {
        finish_stop(host);
    }
}

} // namespace hawthornspur::serve
