#ifndef HAWTHORNSPUR_CLI_PLATFORM_SESSION_HPP
#define HAWTHORNSPUR_CLI_PLATFORM_SESSION_HPP

#include "base/result.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "platform/call_limiter.hpp"
#include "platform/configuration_store.hpp"
#include "platform/scheduler.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::cli
{

/// The flags of every command that uses the platform.
std::vector<std::string> platform_flags();

/// The event loop and the clients with which a command calls the platform and
/// hosts. Members are destroyed in reverse order, the loop last.
struct platform_session
{
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<net::http_client> m_client;
    platform::scheduler m_scheduler;
    std::unique_ptr<platform::call_limiter> m_limiter;
    platform::platform_calls m_calls;
    std::unique_ptr<platform::configuration_store> m_store;
};

/// Opens a session with the platform at --platform. Errors: usage for an
/// invalid flag, system_failure.
result<std::unique_ptr<platform_session>> open_session();

/// Parses "ADDRESS:PORT", for IPv6 "[ADDRESS]:PORT". Errors: usage.
result<net::endpoint> parse_endpoint(std::string_view text);

/// Starts an asynchronous call and runs the loop until its callback is called.
/// Errors: those of the call, system_failure when the loop ends before.
template <class T>
result<T> run_call(platform_session& session,
                   std::function<void(platform::callback<T>)> const& start)
{
    std::optional<result<T>> answer;
    start(
        [&](result<T> outcome)
        {
            answer = std::move(outcome);
            session.m_loop->stop();
        });
    if (!answer)
    {
        session.m_loop->run();
    }
    if (!answer)
    {
        return make_error(result_code::system_failure,
                          "the event loop stopped before the call completed");
    }
    return std::move(*answer);
}

/// Returns a random change id of 16 hex digits.
std::string make_change_id();

} // namespace hawthornspur::cli

#endif
