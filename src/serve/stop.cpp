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

/// Time for the last answers and messages to leave the socket buffers.
constexpr auto linger = std::chrono::milliseconds(200);

/// Between the end of the stop and the platform's signal that ends the process.
constexpr auto kill_margin = std::chrono::milliseconds(500);

/// Share of the bound in which new requests are taken; the longest route has a
/// third of the usual bound of 6 s.
constexpr double leaving_share = 0.6;

/// How long the stop may take: within the settings, and early enough before the
/// platform ends the process.
core::duration stop_bound(entry_host const& h)
{
    auto const& grace = h.m_bounds.m_stop_grace;
    return grace ? std::min(h.m_settings.m_stop_bound,
                            std::max(core::duration(0), *grace - kill_margin))
                 : h.m_settings.m_stop_bound;
}

/// How long callers that hold an old address answer are served. The rest of the
/// bound is for requests in flight.
core::duration leaving_time(entry_host const& h)
{
    auto const lifetime =
        h.m_configuration.m_in_force == nullptr
            ? core::duration(0)
            : h.m_configuration.m_in_force->m_address_lifetime;
    return std::min(lifetime, std::chrono::duration_cast<core::duration>(
                                  stop_bound(h) * leaving_share));
}

void cut_remaining_calls(entry_host& h)
{
    std::vector<core::request_id> ids;
    for (auto const& [id, c] : h.m_calls)
    {
        ids.push_back(id);
    }
    for (auto const id : ids)
    {
        if (auto* c = find_call(h, id))
        {
            bool const may_have_run =
                !c->m_attempts.empty() || c->m_forwarded.has_value();
            fail_call(h, *c,
                      may_have_run ? result_code::stop_bound_reached
                                   : result_code::host_leaving);
        }
    }
    logging::write(logging::level::warn, "serve.stop", "stop bound reached",
                   {{"calls_cut", std::to_string(ids.size())}});
}

void finish_stop(entry_host& h)
{
    h.m_stop_stage = stop_stage::finished;
    h.m_stop_deadline = now() + linger;
    logging::write(logging::level::info, "serve.stop", "no call in flight");
}

} // namespace

void begin_stop(entry_host& h, std::string const& reason)
{
    if (h.m_stop_stage != stop_stage::running)
    {
        logging::write(logging::level::warn, "serve.stop",
                       "stop already in progress", {{"reason", reason}});
        return;
    }
    logging::write(logging::level::info, "serve.stop", "planned stop begins",
                   {{"reason", reason}});
    h.m_stop_stage = stop_stage::leaving;
    h.m_stop_deadline = now() + stop_bound(h);
    h.m_answers_expire = now() + leaving_time(h);
    announce_self(h);
}

void check_stop(entry_host& h)
{
    if (h.m_stop_stage == stop_stage::running)
    {
        return;
    }
    if (h.m_stop_stage == stop_stage::finished)
    {
        if (now() >= h.m_stop_deadline)
        {
            h.m_loop->stop();
        }
        return;
    }
    if (now() >= h.m_stop_deadline)
    {
        cut_remaining_calls(h);
        finish_stop(h);
        return;
    }
    if (h.m_stop_stage == stop_stage::leaving && now() >= h.m_answers_expire)
    {
        h.m_stop_stage = stop_stage::finishing;
        h.m_caller_server->close_listener();
    }
    if (h.m_stop_stage == stop_stage::finishing && h.m_calls.empty() &&
        h.m_incoming.empty() && h.m_outgoing.empty())
    {
        finish_stop(h);
    }
}

} // namespace hawthornspur::serve
