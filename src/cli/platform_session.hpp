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

/// The flags that every command on the platform takes.
std::vector<std::string> platform_flags();

/// What a command needs to talk to the platform and to hosts. Members are
/// destroyed in reverse order, the loop last.
struct platform_session
{
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<net::http_client> m_client;
    platform::scheduler m_time;
    std::unique_ptr<platform::call_limiter> m_limiter;
    platform::platform_calls m_calls;
    std::unique_ptr<platform::configuration_store> m_store;
};

/// Opens a session with the platform that --platform names. Errors: usage for
/// a flag that is no address, system_failure.
result<std::unique_ptr<platform_session>> open_session();

/// Parses "ADDRESS:PORT", for IPv6 "[ADDRESS]:PORT".
result<net::endpoint> parse_endpoint(std::string_view text);

/// Starts one asynchronous call and runs the loop until it answers.
template <class T>
result<T> run_call(platform_session& session,
                   std::function<void(platform::callback<T>)> const& start)
{
    std::optional<result<T>> answer;
    start(
        [&](result<T> given)
        {
            answer = std::move(given);
            session.m_loop->stop();
        });
    if (!answer)
    {
        session.m_loop->run();
    }
    if (!answer)
    {
        return make_error(result_code::system_failure,
                          "the event loop ended without an answer");
    }
    return std::move(*answer);
}

/// A change id that no other change has: 16 random hex digits.
std::string make_change_id();

} // namespace hawthornspur::cli

#endif
