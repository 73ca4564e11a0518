#include "platform/call_limiter.hpp"

#include "core/token_bucket.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

struct queued_call
{
    std::function<void()> m_start;
    std::function<void()> m_refuse;
    core::time_point m_queued_at;
};

} // namespace

struct call_limiter::state
{
    platform_calls m_inner;
    scheduler m_scheduler;
    call_limiter_settings m_settings;
    core::token_bucket m_bucket;
    std::deque<queued_call> m_queue;
    std::optional<core::time_point> m_wake_up_time;
    int m_consecutive_failures = 0;
    core::time_point m_backoff_start{};
    core::time_point m_backoff_end{};
    std::mt19937_64 m_random;
    call_limiter_counters m_counters;
};

namespace
{

using limiter_state = call_limiter::state;
using state_ptr = std::shared_ptr<limiter_state>;

error make_not_sent_error()
{
    return make_error(
        result_code::store_unavailable,
        "the call was not sent because of the platform's rate limit or "
        "an outage");
}

core::duration next_backoff(limiter_state& limiter)
{
    auto const& settings = limiter.m_settings;
    constexpr int max_doublings = 30;
    auto const doublings =
        std::min(limiter.m_consecutive_failures - 1, max_doublings);
    auto backoff = settings.m_initial_backoff;
    for (int i = 0; i < doublings && backoff < settings.m_max_backoff; ++i)
    {
        backoff *= 2;
    }
    backoff = std::min(backoff, settings.m_max_backoff);
    // Half of the backoff is random: hosts whose calls failed at the same time
    // must not retry at the same time.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return std::chrono::duration_cast<core::duration>(backoff *
                                                      jitter(limiter.m_random));
}

void record_failure(limiter_state& limiter, core::time_point started)
{
    ++limiter.m_counters.m_failed;
    // Calls that were in flight when the backoff began count as the same
    // failure.
    if (limiter.m_consecutive_failures > 0 && started < limiter.m_backoff_start)
    {
        return;
    }
    ++limiter.m_consecutive_failures;
    ++limiter.m_counters.m_backoffs;
    limiter.m_backoff_start = limiter.m_scheduler.m_now();
    limiter.m_backoff_end = limiter.m_backoff_start + next_backoff(limiter);
}

void start_queued_calls(state_ptr const& limiter);

void schedule_wake_up(state_ptr const& limiter, core::duration delay)
{
    auto const wake_up_time = limiter->m_scheduler.m_now() + delay;
    // Timers are not cancelled. One that fires at another time than
    // m_wake_up_time does nothing.
    if (limiter->m_wake_up_time && *limiter->m_wake_up_time <= wake_up_time)
    {
        return;
    }
    limiter->m_wake_up_time = wake_up_time;
    limiter->m_scheduler.m_run_after(
        delay,
        [weak = std::weak_ptr(limiter), wake_up_time]
        {
            auto const owner = weak.lock();
            if (owner != nullptr && owner->m_wake_up_time == wake_up_time)
            {
                owner->m_wake_up_time.reset();
                start_queued_calls(owner);
            }
        });
}

/// Takes a token for the next call and returns zero. During a backoff or
/// without a token, returns the time to wait instead.
core::duration delay_before_next_call(limiter_state& limiter,
                                      core::time_point now)
{
    if (now < limiter.m_backoff_end)
    {
        return limiter.m_backoff_end - now;
    }
    if (core::try_take(limiter.m_bucket, 1, now))
    {
        return core::duration(0);
    }
    // Rounded up: a wake-up that is too early would find no token.
    std::chrono::duration<double> const missing(
        (1 - limiter.m_bucket.m_tokens) / limiter.m_bucket.m_tokens_per_second);
    return std::chrono::ceil<core::duration>(missing) +
           std::chrono::microseconds(1);
}

void start_queued_calls(state_ptr const& limiter)
{
    while (!limiter->m_queue.empty())
    {
        auto const now = limiter->m_scheduler.m_now();
        auto const queue_deadline = limiter->m_queue.front().m_queued_at +
                                    limiter->m_settings.m_max_queue_time;
        if (now >= queue_deadline)
        {
            auto const expired = std::move(limiter->m_queue.front());
            limiter->m_queue.pop_front();
            ++limiter->m_counters.m_refused;
            expired.m_refuse();
            continue;
        }
        auto const delay = delay_before_next_call(*limiter, now);
        if (delay > core::duration(0))
        {
            schedule_wake_up(limiter, std::min(delay, queue_deadline - now));
            return;
        }
        auto const next = std::move(limiter->m_queue.front());
        limiter->m_queue.pop_front();
        ++limiter->m_counters.m_started;
        next.m_start();
    }
}

template <class T>
using call_starter = std::function<void(callback<T>)>;

/// A started call. It is completed by the first of its answer and its timeout,
/// which clears m_done.
template <class T>
struct started_call
{
    callback<T> m_done;
    core::time_point m_started;
};

template <class T>
void complete_call(state_ptr const& limiter, started_call<T>& call,
                   result<T> answer)
{
    if (!call.m_done)
    {
        ++limiter->m_counters.m_late_answers;
        return;
    }
    auto const done = std::exchange(call.m_done, nullptr);
    if (!has_value(answer) &&
        failure(answer).m_code == result_code::store_unavailable)
    {
        record_failure(*limiter, call.m_started);
    }
    else
    {
        limiter->m_consecutive_failures = 0;
        limiter->m_backoff_end = {};
    }
    done(std::move(answer));
    start_queued_calls(limiter);
}

template <class T>
void start_call(state_ptr const& limiter, call_starter<T> const& start,
                callback<T> done, core::duration timeout)
{
    auto const call = std::make_shared<started_call<T>>();
    call->m_done = std::move(done);
    call->m_started = limiter->m_scheduler.m_now();
    limiter->m_scheduler.m_run_after(
        timeout,
        [weak = std::weak_ptr(limiter), call]
        {
            auto const owner = weak.lock();
            if (owner != nullptr && call->m_done)
            {
                ++owner->m_counters.m_timed_out;
                complete_call<T>(owner, *call,
                                 make_error(result_code::store_unavailable,
                                            "the platform did not answer in "
                                            "time"));
            }
        });
    start([limiter, call](result<T> answer)
          { complete_call<T>(limiter, *call, std::move(answer)); });
}

template <class T>
void enqueue_call(state_ptr const& limiter, call_starter<T> start,
                  callback<T> done,
                  core::duration extra_time = core::duration(0))
{
    auto const shared_done = std::make_shared<callback<T>>(std::move(done));
    auto const refuse = [shared_done]
    {
        (*shared_done)(make_not_sent_error());
    };
    if (limiter->m_queue.size() >= limiter->m_settings.m_max_queued_calls)
    {
        ++limiter->m_counters.m_refused;
        limiter->m_scheduler.m_run_after(core::duration(0), refuse);
        return;
    }
    auto const timeout = limiter->m_settings.m_call_timeout + extra_time;
    queued_call call;
    call.m_refuse = refuse;
    // A weak pointer avoids a cycle: the limiter's queue owns this function.
    call.m_start = [weak = std::weak_ptr(limiter), start = std::move(start),
                    shared_done, timeout]
    {
        if (auto const owner = weak.lock())
        {
            start_call<T>(owner, start, std::move(*shared_done), timeout);
        }
    };
    call.m_queued_at = limiter->m_scheduler.m_now();
    limiter->m_queue.push_back(std::move(call));
    auto const started_before = limiter->m_counters.m_started;
    start_queued_calls(limiter);
    if (limiter->m_counters.m_started == started_before)
    {
        ++limiter->m_counters.m_delayed;
    }
}

} // namespace

call_limiter::call_limiter(std::shared_ptr<state> limiter)
    : m_state(std::move(limiter))
{
}

call_limiter::~call_limiter() = default;

std::unique_ptr<call_limiter>
call_limiter::create(platform_calls inner, scheduler timers,
                     call_limiter_settings const& settings, std::uint64_t seed)
{
    auto limiter = std::make_shared<state>();
    limiter->m_inner = std::move(inner);
    limiter->m_scheduler = std::move(timers);
    limiter->m_settings = settings;
    limiter->m_bucket = core::make_token_bucket(settings.m_calls_per_second,
                                                std::max(settings.m_burst, 1.0),
                                                limiter->m_scheduler.m_now());
    limiter->m_random.seed(seed);
    return std::unique_ptr<call_limiter>(new call_limiter(std::move(limiter)));
}

call_limiter_counters const& call_limiter::counters() const noexcept
{
    return m_state->m_counters;
}

platform_calls call_limiter::calls() const
{
    auto const limiter = m_state;
    platform_calls limited_calls;
    limited_calls.m_get =
        [limiter](std::string key, callback<stored_value> done)
    {
        enqueue_call<stored_value>(
            limiter,
            [inner = &limiter->m_inner, key = std::move(key)](auto on_answer)
            { inner->m_get(key, std::move(on_answer)); },
            std::move(done));
    };
    limited_calls.m_compare_and_swap =
        [limiter](std::string key, std::string value, key_version replaced,
                  callback<std::uint64_t> done)
    {
        enqueue_call<std::uint64_t>(
            limiter,
            [inner = &limiter->m_inner, key = std::move(key),
             value = std::move(value), replaced](auto on_answer) {
                inner->m_compare_and_swap(key, value, replaced,
                                          std::move(on_answer));
            },
            std::move(done));
    };
    limited_calls.m_watch = [limiter](std::string key, std::uint64_t after,
                                      core::duration wait,
                                      callback<stored_value> done)
    {
        enqueue_call<stored_value>(
            limiter,
            [inner = &limiter->m_inner, key = std::move(key), after,
             wait](auto on_answer)
            { inner->m_watch(key, after, wait, std::move(on_answer)); },
            std::move(done), wait);
    };
    limited_calls.m_create_lease =
        [limiter](core::duration lifetime, callback<std::string> done)
    {
        enqueue_call<std::string>(
            limiter,
            [inner = &limiter->m_inner, lifetime](auto on_answer)
            { inner->m_create_lease(lifetime, std::move(on_answer)); },
            std::move(done));
    };
    limited_calls.m_renew_lease =
        [limiter](std::string lease, callback<std::monostate> done)
    {
        enqueue_call<std::monostate>(
            limiter,
            [inner = &limiter->m_inner,
             lease = std::move(lease)](auto on_answer)
            { inner->m_renew_lease(lease, std::move(on_answer)); },
            std::move(done));
    };
    // Calls that the platform does not support stay empty.
    auto const& inner_calls = limiter->m_inner;
    if (inner_calls.m_list_hosts)
    {
        limited_calls.m_list_hosts =
            [limiter](callback<std::vector<listed_host>> done)
        {
            enqueue_call<std::vector<listed_host>>(
                limiter,
                [inner = &limiter->m_inner](auto on_answer)
                { inner->m_list_hosts(std::move(on_answer)); },
                std::move(done));
        };
    }
    if (!inner_calls.m_get_range)
    {
        return limited_calls;
    }
    limited_calls.m_get_range = [limiter](std::string prefix,
                                          freshness read_freshness,
                                          callback<stored_range> done)
    {
        enqueue_call<stored_range>(
            limiter,
            [inner = &limiter->m_inner, prefix = std::move(prefix),
             read_freshness](auto on_answer) {
                inner->m_get_range(prefix, read_freshness,
                                   std::move(on_answer));
            },
            std::move(done));
    };
    limited_calls.m_watch_range =
        [limiter](std::string prefix, std::uint64_t after, core::duration wait,
                  callback<range_changes> done)
    {
        enqueue_call<range_changes>(
            limiter,
            [inner = &limiter->m_inner, prefix = std::move(prefix), after,
             wait](auto on_answer) {
                inner->m_watch_range(prefix, after, wait, std::move(on_answer));
            },
            std::move(done), wait);
    };
    limited_calls.m_put_leased = [limiter](std::string key, std::string value,
                                           std::string lease,
                                           callback<std::uint64_t> done)
    {
        enqueue_call<std::uint64_t>(
            limiter,
            [inner = &limiter->m_inner, key = std::move(key),
             value = std::move(value), lease = std::move(lease)](auto on_answer)
            { inner->m_put_leased(key, value, lease, std::move(on_answer)); },
            std::move(done));
    };
    return limited_calls;
}

} // namespace hawthornspur::platform
