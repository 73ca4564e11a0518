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

struct waiting_call
{
    std::function<void()> m_start;
    std::function<void()> m_refuse;
    core::time_point m_since;
};

} // namespace

struct call_limiter::state
{
    platform_calls m_inner;
    scheduler m_time;
    call_limiter_settings m_settings;
    core::token_bucket m_bucket;
    std::deque<waiting_call> m_waiting;
    std::optional<core::time_point> m_wake_at;
    int m_failures_in_a_row = 0;
    core::time_point m_paused_since{};
    core::time_point m_paused_until{};
    std::mt19937_64 m_random;
    call_limiter_counters m_counters;
};

namespace
{

using state = call_limiter::state;
using state_ptr = std::shared_ptr<state>;

error never_sent()
{
    return make_error(result_code::store_unavailable,
                      "the call was not sent: the platform's rate limit or "
                      "outage held it for too long");
}

core::duration next_pause(state& s)
{
    auto const& settings = s.m_settings;
    constexpr int most_doublings = 30;
    auto const doublings = std::min(s.m_failures_in_a_row - 1, most_doublings);
    auto pause = settings.m_first_pause;
    for (int i = 0; i < doublings && pause < settings.m_max_backoff; ++i)
    {
        pause *= 2;
    }
    pause = std::min(pause, settings.m_max_backoff);
    // Half of the pause is random, so that hosts which failed together do not
    // retry together.
    std::uniform_real_distribution<double> part(0.5, 1.0);
    return std::chrono::duration_cast<core::duration>(pause * part(s.m_random));
}

void note_failure(state& s, core::time_point started)
{
    ++s.m_counters.m_failed;
    // Calls that were in flight when a pause began belong to the same failure.
    if (s.m_failures_in_a_row > 0 && started < s.m_paused_since)
    {
        return;
    }
    ++s.m_failures_in_a_row;
    ++s.m_counters.m_pauses;
    s.m_paused_since = s.m_time.m_now();
    s.m_paused_until = s.m_paused_since + next_pause(s);
}

void pump(state_ptr const& s);

void wake_after(state_ptr const& s, core::duration delay)
{
    auto const at = s->m_time.m_now() + delay;
    // A later wake-up that is set already stays; it finds nothing to do.
    if (s->m_wake_at && *s->m_wake_at <= at)
    {
        return;
    }
    s->m_wake_at = at;
    s->m_time.m_run_after(delay,
                          [weak = std::weak_ptr(s), at]
                          {
                              auto const owner = weak.lock();
                              if (owner != nullptr && owner->m_wake_at == at)
                              {
                                  owner->m_wake_at.reset();
                                  pump(owner);
                              }
                          });
}

/// How long the first waiting call has to wait still; zero or less starts it.
core::duration delay_of_next(state& s, core::time_point now)
{
    if (now < s.m_paused_until)
    {
        return s.m_paused_until - now;
    }
    if (core::try_take(s.m_bucket, 1, now))
    {
        return core::duration(0);
    }
    // Rounded up, since a wake-up that comes too early finds no token.
    std::chrono::duration<double> const missing((1 - s.m_bucket.m_tokens) /
                                                s.m_bucket.m_tokens_per_second);
    return std::chrono::ceil<core::duration>(missing) +
           std::chrono::microseconds(1);
}

void pump(state_ptr const& s)
{
    while (!s->m_waiting.empty())
    {
        auto const now = s->m_time.m_now();
        auto const gives_up_at =
            s->m_waiting.front().m_since + s->m_settings.m_longest_wait;
        if (now >= gives_up_at)
        {
            auto const late = std::move(s->m_waiting.front());
            s->m_waiting.pop_front();
            ++s->m_counters.m_refused;
            late.m_refuse();
            continue;
        }
        auto const delay = delay_of_next(*s, now);
        if (delay > core::duration(0))
        {
            wake_after(s, std::min(delay, gives_up_at - now));
            return;
        }
        auto const next = std::move(s->m_waiting.front());
        s->m_waiting.pop_front();
        ++s->m_counters.m_started;
        next.m_start();
    }
}

template <class T>
using starter = std::function<void(callback<T>)>;

/// One started call. The first of answer and time limit settles it.
template <class T>
struct started_call
{
    callback<T> m_done;
    core::time_point m_started;
};

template <class T>
void settle(state_ptr const& s, started_call<T>& call, result<T> answer)
{
    if (!call.m_done)
    {
        ++s->m_counters.m_late_answers;
        return;
    }
    auto const done = std::exchange(call.m_done, nullptr);
    if (!has_value(answer) &&
        failure(answer).m_code == result_code::store_unavailable)
    {
        note_failure(*s, call.m_started);
    }
    else
    {
        s->m_failures_in_a_row = 0;
        s->m_paused_until = {};
    }
    done(std::move(answer));
    pump(s);
}

template <class T>
void start_call(state_ptr const& s, starter<T> const& start, callback<T> done,
                core::duration limit)
{
    auto const call = std::make_shared<started_call<T>>();
    call->m_done = std::move(done);
    call->m_started = s->m_time.m_now();
    s->m_time.m_run_after(
        limit,
        [weak = std::weak_ptr(s), call]
        {
            auto const owner = weak.lock();
            if (owner != nullptr && call->m_done)
            {
                ++owner->m_counters.m_given_up;
                settle<T>(owner, *call,
                          make_error(result_code::store_unavailable,
                                     "the platform did not answer in "
                                     "time"));
            }
        });
    start([s, call](result<T> answer)
          { settle<T>(s, *call, std::move(answer)); });
}

template <class T>
void submit(state_ptr const& s, starter<T> start, callback<T> done,
            core::duration extra_time = core::duration(0))
{
    auto const shared_done = std::make_shared<callback<T>>(std::move(done));
    auto const refuse = [shared_done]
    {
        (*shared_done)(never_sent());
    };
    if (s->m_waiting.size() >= s->m_settings.m_max_waiting)
    {
        ++s->m_counters.m_refused;
        s->m_time.m_run_after(core::duration(0), refuse);
        return;
    }
    auto const limit = s->m_settings.m_longest_call + extra_time;
    waiting_call waiting;
    waiting.m_refuse = refuse;
    // The state is not held here: it holds this function.
    waiting.m_start =
        [weak = std::weak_ptr(s), start = std::move(start), shared_done, limit]
    {
        if (auto const owner = weak.lock())
        {
            start_call<T>(owner, start, std::move(*shared_done), limit);
        }
    };
    waiting.m_since = s->m_time.m_now();
    s->m_waiting.push_back(std::move(waiting));
    auto const started_before = s->m_counters.m_started;
    pump(s);
    if (s->m_counters.m_started == started_before)
    {
        ++s->m_counters.m_delayed;
    }
}

} // namespace

call_limiter::call_limiter(std::shared_ptr<state> s)
    : m_state(std::move(s))
{
}

call_limiter::~call_limiter() = default;

std::unique_ptr<call_limiter>
call_limiter::create(platform_calls inner, scheduler time,
                     call_limiter_settings const& settings, std::uint64_t seed)
{
    auto s = std::make_shared<state>();
    s->m_inner = std::move(inner);
    s->m_time = std::move(time);
    s->m_settings = settings;
    s->m_bucket = core::make_token_bucket(settings.m_calls_per_second,
                                          std::max(settings.m_burst, 1.0),
                                          s->m_time.m_now());
    s->m_random.seed(seed);
    return std::unique_ptr<call_limiter>(new call_limiter(std::move(s)));
}

call_limiter_counters const& call_limiter::counters() const noexcept
{
    return m_state->m_counters;
}

platform_calls call_limiter::calls() const
{
    auto const s = m_state;
    platform_calls made;
    made.m_get = [s](std::string key, callback<stored_value> done)
    {
        submit<stored_value>(
            s,
            [inner = &s->m_inner, key = std::move(key)](auto answered)
            { inner->m_get(key, std::move(answered)); },
            std::move(done));
    };
    made.m_compare_and_swap = [s](std::string key, std::string value,
                                  std::uint64_t revision,
                                  callback<std::uint64_t> done)
    {
        submit<std::uint64_t>(
            s,
            [inner = &s->m_inner, key = std::move(key),
             value = std::move(value), revision](auto answered) {
                inner->m_compare_and_swap(key, value, revision,
                                          std::move(answered));
            },
            std::move(done));
    };
    made.m_watch = [s](std::string key, std::uint64_t after,
                       core::duration wait, callback<stored_value> done)
    {
        submit<stored_value>(
            s,
            [inner = &s->m_inner, key = std::move(key), after,
             wait](auto answered)
            { inner->m_watch(key, after, wait, std::move(answered)); },
            std::move(done), wait);
    };
    made.m_create_lease =
        [s](core::duration lifetime, callback<std::string> done)
    {
        submit<std::string>(
            s,
            [inner = &s->m_inner, lifetime](auto answered)
            { inner->m_create_lease(lifetime, std::move(answered)); },
            std::move(done));
    };
    made.m_renew_lease = [s](std::string lease, callback<std::monostate> done)
    {
        submit<std::monostate>(
            s,
            [inner = &s->m_inner, lease = std::move(lease)](auto answered)
            { inner->m_renew_lease(lease, std::move(answered)); },
            std::move(done));
    };
    // Calls that the platform does not have stay empty.
    auto const& inner_calls = s->m_inner;
    if (inner_calls.m_list_hosts)
    {
        made.m_list_hosts = [s](callback<std::vector<listed_host>> done)
        {
            submit<std::vector<listed_host>>(
                s,
                [inner = &s->m_inner](auto answered)
                { inner->m_list_hosts(std::move(answered)); },
                std::move(done));
        };
    }
    if (!inner_calls.m_get_range)
    {
        return made;
    }
    made.m_get_range =
        [s](std::string prefix, freshness age, callback<stored_range> done)
    {
        submit<stored_range>(
            s,
            [inner = &s->m_inner, prefix = std::move(prefix),
             age](auto answered)
            { inner->m_get_range(prefix, age, std::move(answered)); },
            std::move(done));
    };
    made.m_watch_range = [s](std::string prefix, std::uint64_t after,
                             core::duration wait, callback<range_changes> done)
    {
        submit<range_changes>(
            s,
            [inner = &s->m_inner, prefix = std::move(prefix), after,
             wait](auto answered)
            { inner->m_watch_range(prefix, after, wait, std::move(answered)); },
            std::move(done), wait);
    };
    made.m_put_leased = [s](std::string key, std::string value,
                            std::string lease, callback<std::uint64_t> done)
    {
        submit<std::uint64_t>(
            s,
            [inner = &s->m_inner, key = std::move(key),
             value = std::move(value), lease = std::move(lease)](auto answered)
            { inner->m_put_leased(key, value, lease, std::move(answered)); },
            std::move(done));
    };
    return made;
}

} // namespace hawthornspur::platform
