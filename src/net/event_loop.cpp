#include "net/event_loop.hpp"

#include <event2/event.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <ctime>
#include <utility>

namespace hawthornspur::net
{

namespace
{

timeval to_timeval(core::duration delay)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    auto const total =
        std::max<std::int64_t>(0, duration_cast<microseconds>(delay).count());
    constexpr std::int64_t per_second = 1'000'000;
    timeval value{};
    value.tv_sec = total / per_second;
    value.tv_usec = total % per_second;
    return value;
}

} // namespace

event_loop::event_loop(event_base* base) noexcept
    : m_base(base)
{
}

event_loop::~event_loop()
{
    if (m_posted_event != nullptr)
    {
        event_free(m_posted_event);
    }
    // Destroying a task may post further tasks.
    while (!m_posted_tasks.empty())
    {
        auto const discarded = std::exchange(m_posted_tasks, {});
    }
    event_base_free(m_base);
}

result<std::unique_ptr<event_loop>> event_loop::create()
{
    // The coarse clock of the kernel is off by up to 4 ms, which exceeds the
    // latency that the balancer may add to a call.
    auto* config = event_config_new();
    if (config == nullptr)
    {
        return make_error(result_code::system_failure,
                          "cannot allocate the event loop configuration");
    }
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    auto* base = event_base_new_with_config(config);
    event_config_free(config);
    if (base == nullptr)
    {
        return make_error(result_code::system_failure,
                          "cannot create the event loop");
    }
    std::unique_ptr<event_loop> loop(new event_loop(base));
    loop->m_posted_event =
        event_new(base, -1, 0, &event_loop::run_posted, loop.get());
    if (loop->m_posted_event == nullptr)
    {
        return make_error(result_code::system_failure,
                          "cannot create the event for posted tasks");
    }
    return loop;
}

void event_loop::run()
{
    event_base_dispatch(m_base);
}

void event_loop::run_pending()
{
    event_base_loop(m_base, EVLOOP_NONBLOCK);
}

void event_loop::stop()
{
    event_base_loopbreak(m_base);
}

core::time_point event_loop::now()
{
    // Unlike steady_clock, CLOCK_BOOTTIME includes the time the host was
    // suspended, so the age of data from before a suspension is correct.
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return core::time_point(std::chrono::seconds(reading.tv_sec) +
                            std::chrono::nanoseconds(reading.tv_nsec));
}

void event_loop::post(std::function<void()> task)
{
    m_posted_tasks.push_back(std::move(task));
    event_active(m_posted_event, EV_TIMEOUT, 1);
}

void event_loop::run_posted(int /*fd*/, short /*what*/, void* self)
{
    auto const tasks =
        std::exchange(static_cast<event_loop*>(self)->m_posted_tasks, {});
    for (auto const& task : tasks)
    {
        task();
    }
}

timer::timer(std::function<void()> action)
    : m_action(std::make_shared<std::function<void()> const>(std::move(action)))
{
}

timer::~timer()
{
    if (m_event != nullptr)
    {
        event_free(m_event);
    }
}

result<std::unique_ptr<timer>> timer::create(event_loop& loop,
                                             std::function<void()> action)
{
    std::unique_ptr<timer> new_timer(new timer(std::move(action)));
    new_timer->m_event =
        event_new(loop.base(), -1, 0, &timer::on_event, new_timer.get());
    if (new_timer->m_event == nullptr)
    {
        return make_error(result_code::system_failure, "cannot create a timer");
    }
    return new_timer;
}

void timer::on_event(int /*fd*/, short /*what*/, void* self)
{
    auto const action = static_cast<timer*>(self)->m_action;
    (*action)();
}

void timer::start(core::duration delay)
{
    auto const now = std::chrono::steady_clock::now();
    bool const is_due =
        m_due <= now && event_pending(m_event, EV_TIMEOUT, nullptr) != 0;
    if (is_due && delay <= core::duration(0))
    {
        return;
    }
    m_due = now + std::max(delay, core::duration(0));
    auto const value = to_timeval(delay);
    event_add(m_event, &value);
}

void timer::run_next()
{
    m_due = std::chrono::steady_clock::now();
    event_active(m_event, EV_TIMEOUT, 1);
}

void timer::stop()
{
    event_del(m_event);
}

signal_watch::signal_watch(std::function<void()> action)
    : m_action(std::move(action))
{
}

signal_watch::~signal_watch()
{
    if (m_event != nullptr)
    {
        event_free(m_event);
    }
}

result<std::unique_ptr<signal_watch>>
signal_watch::create(event_loop& loop, int signal_number,
                     std::function<void()> action)
{
    std::unique_ptr<signal_watch> new_watch(
        new signal_watch(std::move(action)));
    new_watch->m_event = evsignal_new(loop.base(), signal_number,
                                      &signal_watch::on_event, new_watch.get());
    if (new_watch->m_event == nullptr ||
        event_add(new_watch->m_event, nullptr) != 0)
    {
        return make_error(result_code::system_failure, "cannot watch a signal");
    }
    return new_watch;
}

void signal_watch::on_event(int /*fd*/, short /*what*/, void* self)
{
    static_cast<signal_watch*>(self)->m_action();
}

} // namespace hawthornspur::net
