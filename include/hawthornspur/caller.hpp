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

/// Address of an entry host that answers address requests.
struct caller_endpoint
{
    std::string m_address;
    std::uint16_t m_port = 0;
};

struct caller_settings
{
    /// Zone of the caller. It decides which entry hosts are preferred.
    std::string m_zone;
    /// Entry hosts for the first address request, and for later ones when none
    /// of the known addresses answers. At least one.
    std::vector<caller_endpoint> m_entry_hosts;
    /// Limit on the attempts of one call, over all addresses.
    int m_max_attempts = 4;
    /// Resends an at-most-once request with the same key when its outcome is
    /// unknown. The home of the session joins the copy to the running request
    /// or replays the answer, and never runs the request twice.
    bool m_send_copies = false;
    std::size_t m_max_answer_bytes = std::size_t{64} << 20U;
};

/// Whether the kind of a request, as the service declares it, may run more
/// than once.
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
    /// Time limit from call() to the complete answer, over all attempts.
    std::chrono::milliseconds m_deadline{2000};
    /// Time limit of one attempt of an idempotent call, after which the next
    /// address is tried. 0 means that only the deadline applies.
    std::chrono::milliseconds m_attempt_limit{0};
    /// Depth in a chain of calls. A server that makes a call while it handles
    /// a request passes the depth of that request plus one.
    int m_depth = 0;
};

/// Result of a call. A complete answer of the service has the code ok,
/// whatever its HTTP status.
struct call_result
{
    result_code m_code = result_code::ok;
    execution m_execution = execution::unknown;
    /// HTTP status; 0 if no response head arrived.
    int m_status = 0;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
    int m_attempts = 0;
    /// Name of the entry host to which the last attempt was sent.
    std::string m_entry_host;
    /// At-most-once key of the last attempt; empty if it had none.
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

/// Client for services behind entry hosts (docs/callers.md). Requests the
/// addresses of a service, tries them in the given order, and retries a request
/// only if it certainly did not run or its kind is idempotent. The loop must
/// outlive the caller.
class caller
{
public:
    /// Errors: settings_invalid without entry hosts.
    static result<std::unique_ptr<caller>> create(net::event_loop& loop,
                                                  caller_settings settings);
    ~caller();
    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;

    /// Starts a call. The handler runs exactly once from the event loop, never
    /// from within call(). It does not run if the caller is destroyed first.
    void call(call_request request, call_handler handler);

    caller_counters const& counters() const noexcept;

    struct state;

private:
    explicit caller(std::unique_ptr<state> s);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur

#endif
