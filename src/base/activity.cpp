#include "base/activity.hpp"

#include <utility>

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

longest_activities take_longest_activities() noexcept
{
    return std::exchange(current_activities().m_longest, {});
}

activity_scope::activity_scope(char const* name, std::uint64_t id) noexcept
    : m_activity{name, id}
    , m_start(std::chrono::steady_clock::now())
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
    auto& log = current_activities();
    --log.m_depth;
    auto& longest =
        log.m_depth == 0 ? log.m_longest.m_outer : log.m_longest.m_inner;
    auto const time = std::chrono::steady_clock::now() - m_start;
    if (time > longest.m_time)
    {
        longest = {m_activity, time};
    }
}

} // namespace hawthornspur::diagnostics
