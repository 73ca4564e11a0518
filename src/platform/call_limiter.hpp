#ifndef HAWTHORNSPUR_PLATFORM_CALL_LIMITER_HPP
#define HAWTHORNSPUR_PLATFORM_CALL_LIMITER_HPP

#include "core/time.hpp"
#include "platform/platform_calls.hpp"
#include "platform/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace hawthornspur::platform
{

struct call_limiter_settings
{
    /// Calls started per second. A watch takes one token, however long it
    /// waits.
    double m_calls_per_second = 5;
    /// Capacity of the token bucket, in calls.
    double m_burst = 5;
    /// Backoff after the first failure of an outage. It doubles with each
    /// consecutive failure, up to m_max_backoff.
    core::duration m_initial_backoff = std::chrono::milliseconds(100);
    core::duration m_max_backoff = std::chrono::seconds(10);
    /// A call that is queued for longer fails with store_unavailable, which
    /// keeps an outage from blocking its caller.
    core::duration m_max_queue_time = std::chrono::seconds(15);
    /// Time limit of a started call. The limit of a watch is longer by its
    /// wait.
    core::duration m_call_timeout = std::chrono::seconds(5);
    std::size_t m_max_queued_calls = 1000;
};

struct call_limiter_counters
{
    std::uint64_t m_started = 0;
    /// Calls that were queued for a token or for the end of a backoff.
    std::uint64_t m_delayed = 0;
    /// Calls that were never sent: the queue was full or their time in it was
    /// over.
    std::uint64_t m_refused = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_backoffs = 0;
    std::uint64_t m_timed_out = 0;
    std::uint64_t m_late_answers = 0;
};

/// Keeps one process within the platform's rate limits. Calls are queued until
/// a token is available. Failures add an exponential backoff with jitter, since
/// hosts that retry at the same time would overload the store again.
class call_limiter
{
public:
    /// The seed must differ between hosts, otherwise their backoffs are equal.
    static std::unique_ptr<call_limiter>
    create(platform_calls inner, scheduler timers,
           call_limiter_settings const& settings, std::uint64_t seed);
    ~call_limiter();
    call_limiter(call_limiter const&) = delete;
    call_limiter& operator=(call_limiter const&) = delete;

    /// The rate-limited calls. They remain valid after the limiter is
    /// destroyed.
    platform_calls calls() const;

    call_limiter_counters const& counters() const noexcept;

    struct state;

private:
    explicit call_limiter(std::shared_ptr<state> limiter);
    std::shared_ptr<state> m_state;
};

} // namespace hawthornspur::platform

#endif
