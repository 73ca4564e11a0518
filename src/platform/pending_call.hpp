#ifndef HAWTHORNSPUR_PLATFORM_PENDING_CALL_HPP
#define HAWTHORNSPUR_PLATFORM_PENDING_CALL_HPP

#include "platform/platform_calls.hpp"

#include <coroutine>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace hawthornspur::platform
{

/// The return type of a coroutine that runs by itself and reports its end
/// through a callback among its arguments. Its frame lives until it returns,
/// or until the callback of the call it waits for is destroyed unused.
struct detached_task
{
    // Names that the language prescribes.
    struct promise_type
    {
        detached_task get_return_object() noexcept
        {
            return {};
        }
        std::suspend_never initial_suspend() noexcept
        {
            return {};
        }
        std::suspend_never final_suspend() noexcept
        {
            return {};
        }
        void return_void() noexcept {}
        void unhandled_exception() noexcept
        {
            std::terminate();
        }
    };
};

namespace detail
{

/// Resumes a coroutine once, or destroys it when that never happens.
class resumer
{
public:
    explicit resumer(std::coroutine_handle<> waiting) noexcept
        : m_waiting(waiting)
    {
    }
    ~resumer()
    {
        if (m_waiting)
        {
            m_waiting.destroy();
        }
    }
    resumer(resumer const&) = delete;
    resumer& operator=(resumer const&) = delete;

    void resume()
    {
        std::exchange(m_waiting, nullptr).resume();
    }

private:
    std::coroutine_handle<> m_waiting;
};

} // namespace detail

/// Lets a coroutine wait for one call that answers through a callback.
template <class T>
class pending_call
{
public:
    explicit pending_call(std::function<void(callback<T>)> start)
        : m_start(std::move(start))
    {
    }

    bool await_ready() const noexcept
    {
        return false;
    }

    void await_suspend(std::coroutine_handle<> waiting)
    {
        // The frame, and with it this object, may be gone when `start`
        // returns.
        auto const start = std::move(m_start);
        auto const owner = std::make_shared<detail::resumer>(waiting);
        start(
            [this, owner](result<T> answer)
            {
                m_answer.emplace(std::move(answer));
                owner->resume();
            });
    }

    result<T> await_resume()
    {
        return std::move(*m_answer);
    }

private:
    std::function<void(callback<T>)> m_start;
    std::optional<result<T>> m_answer;
};

} // namespace hawthornspur::platform

#endif
