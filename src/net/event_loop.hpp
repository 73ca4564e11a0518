#ifndef HAWTHORNSPUR_NET_EVENT_LOOP_HPP
#define HAWTHORNSPUR_NET_EVENT_LOOP_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace hawthornspur::net
{

/// The one loop of the process; everything with I/O runs on it. It outlives
/// all timers, servers and clients that were created on it.
class event_loop
{
public:
    static result<std::unique_ptr<event_loop>> create();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Runs until stop() is called.
    void run();
    void stop();

    /// Handles what is due and returns, so that tests can run several loops
    /// side by side and let one of them stand still.
    void run_pending();

    /// Monotonic time.
    static core::time_point now();

    /// Calls `task` once from the loop, after the current callback returned.
    void post(std::function<void()> task);

    event_base* base() noexcept
    {
        return m_base;
    }

private:
    explicit event_loop(event_base* base) noexcept;
    static void run_posted(int fd, short what, void* self);
    event_base* m_base;
    /// Owned here, so that tasks which never run are freed with the loop.
    std::vector<std::function<void()>> m_posted;
    event* m_posted_event = nullptr;
};

/// A one-shot timer. It may be set again at any time; destroying it cancels
/// it.
class timer
{
public:
    static result<std::unique_ptr<timer>> create(event_loop& loop,
                                                 std::function<void()> action);
    ~timer();
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    void start(core::duration delay);
    void stop();

private:
    explicit timer(std::function<void()> action);
    static void on_event(int fd, short what, void* self);
    std::function<void()> m_action;
    event* m_event = nullptr;
};

/// Calls an action on a signal such as SIGTERM, from the loop.
class signal_watch
{
public:
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
