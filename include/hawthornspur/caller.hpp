#ifndef HAWTHORNSPUR_CALLER_HPP
#define HAWTHORNSPUR_CALLER_HPP

#include "base/result.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur
{

namespace net
{
class event_loop;
} // namespace net

/// An entry host that the caller may ask for addresses.
struct caller_endpoint
{
    std::string m_address;
    std::uint16_t m_port = 0;
};

struct caller_settings
{
    /// Zone of the caller; entry hosts near it come first.
    std::string m_zone;
    /// Asked for addresses at first, and when no known address answers.
    std::vector<caller_endpoint> m_entry_hosts;
    /// Attempts of one call, all addresses together.
    int m_max_attempts = 4;
    /// Sends an at-most-once request again with its key when its outcome is
    /// unknown. The home then joins the copy to the first one or replays the
    /// answer; it never runs the request twice.
    bool m_send_copies = false;
    std::size_t m_max_answer_bytes = std::size_t{64} << 20U;
};

/// Whether the server's kind lets a request run more than once.
enum class call_rule : std::uint8_t
{
    at_most_once,
    idempotent,
};

struct call_request
{
    std::string m_service;
    std::string m_method = "GET";
    /// Path and query.
    std::string m_uri = "/";
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
    call_rule m_rule = call_rule::at_most_once;
    /// From the call to its whole answer, all attempts together.
    std::chrono::milliseconds m_deadline{2000};
    /// An idempotent call that got no answer within this time is sent to the
    /// next address; 0 waits until the deadline.
    std::chrono::milliseconds m_attempt_limit{0};
    /// Depth in a chain of calls; a server that calls on passes on the value
    /// it received, plus one.
    int m_depth = 0;
};

/// How a call ended. An answer has the code ok, whatever its HTTP status.
struct call_result
{
    result_code m_code = result_code::ok;
    execution m_execution = execution::unknown;
    /// 0 when no head of an answer arrived.
    int m_status = 0;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
    int m_attempts = 0;
    /// Name of the entry host that answered last.
    std::string m_entry_host;
    /// Empty without an at-most-once key.
    std::string m_key;
};

using call_handler = std::function<void(call_result)>;

struct caller_counters
{
    std::uint64_t m_calls = 0;
    std::uint64_t m_address_requests = 0;
    std::uint64_t m_retries_not_run = 0;
    std::uint64_t m_retries_idempotent = 0;
    std::uint64_t m_copies = 0;
    std::uint64_t m_retries_without_budget = 0;
};

/// Calls services through entry hosts as docs/callers.md describes: asks for
/// addresses, follows their order, and sends a request again only if it
/// certainly did not run or its kind is idempotent. It must not outlive the
/// loop.
class caller
{
public:
    /// Errors: settings_invalid without entry hosts.
    static result<std::unique_ptr<caller>> create(net::event_loop& loop,
                                                  caller_settings settings);
    ~caller();
    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;

    /// The handler is called exactly once from the loop, never from within
    /// call(), unless the caller is destroyed before.
    void call(call_request request, call_handler handler);

    caller_counters const& counters() const noexcept;

    struct state;

private:
    explicit caller(std::unique_ptr<state> s);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur

#endif
