#ifndef HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_TARGET_EXCHANGE_HPP
#define HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_TARGET_EXCHANGE_HPP

#include "base/result.hpp"
#include "net/http_message.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

struct evhttp_request;

namespace hawthornspur::tools
{

/// Server side of one exchange with an emulated target. net::http_exchange
/// is unsuitable because it does not send the invalid answers of a faulty
/// target. Once the caller has closed the connection, all calls have no effect.
class target_exchange
{
public:
    explicit target_exchange(evhttp_request* request);
    ~target_exchange();
    target_exchange(target_exchange const&) = delete;
    target_exchange& operator=(target_exchange const&) = delete;

    /// Sends a complete answer.
    void reply(net::http_response_head const& head, std::string_view body);

    /// Starts a streamed answer. Without a length it uses chunked transfer
    /// encoding.
    void start(net::http_response_head const& head,
               std::optional<std::uint64_t> length);
    void write(std::string_view data);
    void end();

    /// Closes the connection.
    void abort();

    /// Returns the number of written bytes that are not yet sent to the caller.
    std::size_t buffered_bytes() const;

    /// The action is called once if the caller closes the connection before the
    /// answer is complete.
    void set_on_closed(std::function<void()> action);
    /// The action is called whenever all written bytes have been sent.
    void set_on_drained(std::function<void()> action);

private:
    friend struct target_exchange_access;
    void finish();
    evhttp_request* m_request;
    bool m_started = false;
    struct close_watch;
    std::unique_ptr<close_watch> m_close_watch;
    std::function<void()> m_on_closed;
    std::function<void()> m_on_drained;
};

void reply_json(target_exchange& exchange, int status,
                nlohmann::json const& body);

/// Replies with status 400 and the code and message of the error as JSON.
void reply_error(target_exchange& exchange, error const& problem);

} // namespace hawthornspur::tools

#endif
