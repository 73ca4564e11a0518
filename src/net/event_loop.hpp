#ifndef HAWTHORNSPUR_NET_EVENT_LOOP_HPP
#define HAWTHORNSPUR_NET_EVENT_LOOP_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace hawthornspur::net
{

/// The event loop on which all I/O runs; a process has one, a test may have
/// several. It must outlive all timers, servers and clients created on it.
class event_loop
{
public:
    /// Errors: system_failure.
    static result<std::unique_ptr<event_loop>> create();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Runs until stop() is called.
    void run();
    void stop();

    /// Runs the events that are ready and returns without blocking. Tests use
    /// it to run several loops alternately or to suspend one of them.
    void run_pending();

    /// Monotonic time that includes the time the host was suspended.
    static core::time_point now();

    /// Calls `task` once from the loop, after the current callback has
    /// returned.
    void post(std::function<void()> task);

    event_base* base() noexcept
    {
        return m_base;
    }

private:
    explicit event_loop(event_base* base) noexcept;
    static void run_posted(int fd, short what, void* self);
    event_base* m_base;
    /// Owned by the loop, which frees the tasks that never run.
    std::vector<std::function<void()>> m_posted_tasks;
    event* m_posted_event = nullptr;
};

/// A one-shot timer. Destroying it cancels it; its action may do so.
class timer
{
public:
    /// Errors: system_failure.
    static result<std::unique_ptr<timer>> create(event_loop& loop,
                                                 std::function<void()> action);
    ~timer();
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    /// Starts the timer, or restarts it with a new delay. A timer that is due
    /// and is to run at once keeps its turn: libevent would put it off to the
    /// next iteration, and again each time.
    void start(core::duration delay);
    /// Runs the action in this iteration, after the callbacks that are already
    /// due. No socket is read before it.
    void run_next();
    void stop();

private:
    explicit timer(std::function<void()> action);
    static void on_event(int fd, short what, void* self);
    /// Shared with the call that is running.
    std::shared_ptr<std::function<void()> const> m_action;
    event* m_event = nullptr;
    /// By the clock of libevent, which stops while the host is suspended.
    std::chrono::steady_clock::time_point m_due{};
};

/// Calls an action from the event loop when the process receives a signal such
/// as SIGTERM.
class signal_watch
{
public:
    /// Errors: system_failure.
    static result<std::unique_ptr<signal_watch>>
    create(event_loop& loop, int signal_number, std::function<void()> action);
    ~signal_watch();
    signal_watch(signal_watch const&) = delete;
    signal_watch& operator=(signal_watch const&) = delete;

private:
    explicit signal_watch(std::function<void()> action);
    static void on_event(int fd, short what, void* self);
    std::function<void()> m_action;
    event* m_event = nullptr;
};

} // namespace hawthornspur::net

#endif
