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

/// Return type of a coroutine that runs on its own and reports its result
/// through a callback argument. The frame is destroyed when the coroutine
/// returns, or when the callback of the call it awaits is destroyed unused.
struct detached_task
{
    // The language requires these names.
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

/// Resumes a coroutine once. Destroys it if it was never resumed.
class coroutine_resumer
{
public:
    explicit coroutine_resumer(std::coroutine_handle<> coroutine) noexcept
        : m_coroutine(coroutine)
    {
    }
    ~coroutine_resumer()
    {
        if (m_coroutine)
        {
            m_coroutine.destroy();
        }
    }
    coroutine_resumer(coroutine_resumer const&) = delete;
    coroutine_resumer& operator=(coroutine_resumer const&) = delete;

    void resume()
    {
        std::exchange(m_coroutine, nullptr).resume();
    }

private:
    std::coroutine_handle<> m_coroutine;
};

} // namespace detail

/// Awaitable for a call that answers through a callback.
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

    void await_suspend(std::coroutine_handle<> coroutine)
    {
        // The coroutine frame, which owns this object, may be destroyed before
        // `start` returns.
        auto const start = std::move(m_start);
        auto const owner =
            std::make_shared<detail::coroutine_resumer>(coroutine);
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
