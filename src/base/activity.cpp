#include "base/activity.hpp"

namespace hawthornspur::diagnostics
{

activity_log& current_activities() noexcept
{
    static constinit thread_local activity_log log{};
    return log;
}

void record_activity(char const* name, std::uint64_t id) noexcept
{
    auto& log = current_activities();
    log.m_recent[log.m_count % activity_log::max_recent] = {name, id};
    ++log.m_count;
}

activity_scope::activity_scope(char const* name, std::uint64_t id) noexcept
{
    record_activity(name, id);
    auto& log = current_activities();
    if (log.m_depth < activity_log::max_nesting)
    {
        log.m_running[log.m_depth] = {name, id};
    }
    ++log.m_depth;
}

activity_scope::~activity_scope()
{
    --current_activities().m_depth;
}

} // namespace hawthornspur::diagnostics
