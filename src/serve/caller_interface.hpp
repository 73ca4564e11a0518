#ifndef HAWTHORNSPUR_SERVE_CALLER_INTERFACE_HPP
#define HAWTHORNSPUR_SERVE_CALLER_INTERFACE_HPP

#include "base/result.hpp"
#include "core/configuration.hpp"
#include "core/pool.hpp"
#include "core/time.hpp"
#include "net/http_message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::serve
{

struct accepted_request;

/// What the head of a target's answer says beside the answer itself.
struct answer_signals
{
    /// The target did not run the request.
    bool m_is_not_run = false;
    bool m_is_draining = false;
    /// Another target has the address now.
    bool m_is_other_target = false;
    /// The answer belongs to another request.
    bool m_is_crossed = false;
    std::optional<core::reported_load> m_load;
};

/// What a target is told with an attempt.
struct attempt_metadata
{
    core::duration m_time_left{0};
    /// Name of the target that is meant.
    std::string m_target;
    core::attempt_number m_attempt = 0;
};

/// A caller's question for addresses.
struct address_request
{
    /// Empty or unknown when the caller does not tell.
    std::string m_zone;
};

struct address_list
{
    std::vector<std::string> m_addresses;
    core::duration m_lifetime{0};
};

/// How callers and targets speak HTTP: names of headers, paths and formats. The
/// functions translate and decide nothing. It lives as long as the host.
struct caller_interface
{
    /// First filter: reads the headers meant for this host. Errors:
    /// malformed_request, deadline_invalid.
    std::function<result<accepted_request>(net::http_request)> m_accept;
    /// Prepares the headers of an accepted request for one attempt.
    std::function<void(accepted_request const&, attempt_metadata const&,
                       net::http_headers&)>
        m_set_target_headers;
    std::function<answer_signals(accepted_request const&,
                                 net::http_response_head const&,
                                 core::kind_config const&)>
        m_read_signals;
    /// Signals in the answer to a probe.
    std::function<answer_signals(net::http_response_head const&,
                                 std::string const& target)>
        m_read_probe_signals;
    /// Removes what the answer says to this host only.
    std::function<void(net::http_headers&)> m_remove_signal_headers;
    /// Tells a refused caller when to come back.
    std::function<void(net::http_headers&, core::duration)> m_add_retry_after;

    /// The functions below exist only where a listener of its own answers
    /// questions for addresses and readiness.
    std::function<result<address_request>(net::http_request const&)>
        m_read_address_request;
    std::function<std::string(address_list const&)> m_write_addresses;
    std::string m_readiness_path;
};

/// The project's own interface, described in docs/callers.md.
caller_interface make_default_caller_interface();

} // namespace hawthornspur::serve

#endif
