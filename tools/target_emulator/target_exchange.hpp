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

/// The answering side of one request to an emulated target. The one of
/// src/net refuses to send what a faulty target sends. After the caller is
/// gone all calls do nothing.
class target_exchange
{
public:
    explicit target_exchange(evhttp_request* request);
    ~target_exchange();
    target_exchange(target_exchange const&) = delete;
    target_exchange& operator=(target_exchange const&) = delete;

    /// Sends a whole answer.
    void reply(net::http_response_head const& head, std::string_view body);

    /// Starts a streamed answer. Without a length it is sent in chunks.
    void start(net::http_response_head const& head,
               std::optional<std::uint64_t> length);
    void write(std::string_view data);
    void end();

    /// Closes the connection.
    void abort();

    /// Bytes that were written and not yet taken by the caller.
    std::size_t buffered_bytes() const;

    /// Called once when the caller closes before the answer is complete.
    void set_on_closed(std::function<void()> action);
    /// Called whenever all written bytes have been taken.
    void set_on_drained(std::function<void()> action);

private:
    friend struct target_exchange_access;
    void finish();
    evhttp_request* m_request;
    bool m_started = false;
    struct watch;
    std::unique_ptr<watch> m_watch;
    std::function<void()> m_on_closed;
    std::function<void()> m_on_drained;
};

void reply_json(target_exchange& exchange, int status,
                nlohmann::json const& body);

/// Answers 400 with the number and message of the error.
void reply_error(target_exchange& exchange, error const& problem);

} // namespace hawthornspur::tools

#endif
