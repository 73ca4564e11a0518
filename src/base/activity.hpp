#ifndef HAWTHORNSPUR_BASE_ACTIVITY_HPP
#define HAWTHORNSPUR_BASE_ACTIVITY_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hawthornspur::diagnostics
{

/// A step of the event loop or a decision, and the request or other object that
/// it concerns; 0 if none.
struct activity
{
    /// A string literal.
    char const* m_name = nullptr;
    std::uint64_t m_id = 0;
};

/// How long an activity ran.
struct timed_activity
{
    activity m_activity;
    std::chrono::steady_clock::duration m_time{};
};

/// The longest activities since they were last taken.
struct longest_activities
{
    /// Not within another activity.
    timed_activity m_outer;
    /// Directly or indirectly within another one.
    timed_activity m_inner;
};

/// Activities of one thread. Plain memory that a signal handler can read.
struct activity_log
{
    static constexpr std::size_t max_nesting = 24;
    static constexpr std::size_t max_recent = 48;

    /// The activities that are running, the outermost first. Those nested more
    /// deeply are only counted.
    std::array<activity, max_nesting> m_running;
    std::size_t m_depth = 0;
    /// The last activities that began, as a ring.
    std::array<activity, max_recent> m_recent;
    std::uint64_t m_count = 0;
    longest_activities m_longest;
};

/// The log of the calling thread.
activity_log& current_activities() noexcept;

/// Adds an activity that has no duration.
void record_activity(char const* name, std::uint64_t id = 0) noexcept;

/// Returns the longest activities that ended since the last call, and starts
/// anew.
longest_activities take_longest_activities() noexcept;

/// Marks an activity as running until the end of the scope, and measures it.
class activity_scope
{
public:
    explicit activity_scope(char const* name, std::uint64_t id = 0) noexcept;
    ~activity_scope();
    activity_scope(activity_scope const&) = delete;
    activity_scope& operator=(activity_scope const&) = delete;

private:
    activity m_activity;
    std::chrono::steady_clock::time_point m_start;
};

} // namespace hawthornspur::diagnostics

#endif
