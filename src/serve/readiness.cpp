#include "serve/readiness.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "serve/host.hpp"
#include "serve/store_role_inputs.hpp"

#include <string>

namespace hawthornspur::serve
{

namespace
{

/// Whether enough other hosts of the zone are ready for this one to leave.
bool may_leave_zone(entry_host const& host)
{
    int ready = 0;
    int unready = 0;
    for (auto const& other : core::hosts(*host.m_membership))
    {
        if (other.m_zone == host.m_settings.m_zone)
        {
            ready += other.m_state == core::host_state::live ? 1 : 0;
            unready += other.m_state == core::host_state::joining ? 1 : 0;
        }
    }
    return core::may_leave(ready, unready);
}

core::host_condition observe_condition(entry_host const& host)
{
    core::host_condition condition;
    condition.m_can_start = !host.m_readiness.m_has_started &&
                            core::is_current(host.m_configuration) &&
                            has_discovered_zone(host);
    if (auto const since = host.m_caller_server->accepts_failing_since())
    {
        condition.m_not_accepting = now() - *since;
    }
    condition.m_loop_delay = host.m_loop_delay.m_last;
    condition.m_may_leave =
        core::is_late(condition.m_loop_delay) && may_leave_zone(host);
    return condition;
}

} // namespace

bool judge_readiness(entry_host& host)
{
    auto const condition = observe_condition(host);
    if (!core::update_readiness(host.m_readiness, condition, now()))
    {
        return false;
    }
    bool const is_ready_now = is_ready(host);
    host.m_metrics.count_event(is_ready_now ? "host_ready" : "host_not_ready");
    logging::write_process_line(
        is_ready_now ? logging::level::info : logging::level::warn,
        "serve.readiness", is_ready_now ? "host ready" : "host not ready",
        {{"reason", std::string(to_string(host.m_readiness.m_fault))},
         {"not_accepting_ms", milliseconds_text(condition.m_not_accepting)},
         {"loop_late_ms", milliseconds_text(condition.m_loop_delay)}});
    return true;
}

bool is_ready(entry_host const& host) noexcept
{
    return core::is_ready(host.m_readiness);
}

std::string_view to_string(core::readiness_fault fault) noexcept
{
    switch (fault)
    {
    case core::readiness_fault::none:
        return "none";
    case core::readiness_fault::starting:
        return "starting";
    case core::readiness_fault::not_accepting:
        return "not_accepting";
    case core::readiness_fault::late:
        break;
    }
    return "late";
}

} // namespace hawthornspur::serve
