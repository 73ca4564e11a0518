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
    /// Calls started per second. A watch takes one token when it starts,
    /// however long it waits.
    double m_calls_per_second = 5;
    /// Calls that may be saved up.
    double m_burst = 5;
    /// Pause after the first failure of an outage; it doubles with each
    /// further one.
    core::duration m_first_pause = std::chrono::milliseconds(100);
    core::duration m_max_backoff = std::chrono::seconds(10);
    /// A call that did not start within this time is answered with
    /// store_unavailable, so that no caller is held up for a whole outage.
    core::duration m_longest_wait = std::chrono::seconds(15);
    /// A started call without an answer is given up after this time, a watch
    /// after its wait in addition.
    core::duration m_longest_call = std::chrono::seconds(5);
    std::size_t m_max_waiting = 1000;
};

struct call_limiter_counters
{
    std::uint64_t m_started = 0;
    /// Calls that had to wait for a token or for the end of a pause.
    std::uint64_t m_delayed = 0;
    /// Calls that were never sent.
    std::uint64_t m_refused = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_pauses = 0;
    std::uint64_t m_given_up = 0;
    std::uint64_t m_late_answers = 0;
};

/// Keeps one process within the platform's rate limits and gives an outage
/// time to end: calls wait for a token, and after failures for a pause with
/// jitter, since hosts that retry at the same time would overload the store
/// again.
class call_limiter
{
public:
    /// The seed must differ between hosts, otherwise their pauses are equal.
    static std::unique_ptr<call_limiter>
    create(platform_calls inner, scheduler time,
           call_limiter_settings const& settings, std::uint64_t seed);
    ~call_limiter();
    call_limiter(call_limiter const&) = delete;
    call_limiter& operator=(call_limiter const&) = delete;

    /// The limited calls. They stay valid after the limiter is gone.
    platform_calls calls() const;

    call_limiter_counters const& counters() const noexcept;

    struct state;

private:
    explicit call_limiter(std::shared_ptr<state> s);
    std::shared_ptr<state> m_state;
};

} // namespace hawthornspur::platform

#endif
