#ifndef HAWTHORNSPUR_SERVE_CALLER_INTERFACE_HPP
#define HAWTHORNSPUR_SERVE_CALLER_INTERFACE_HPP

#include "base/result.hpp"
#include "core/configuration.hpp"
#include "core/pool.hpp"
#include "core/time.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::serve
{

struct accepted_request;

/// State of the target and of the request that the head of an answer reports.
struct answer_signals
{
    /// The target did not run the request.
    bool m_is_not_run = false;
    bool m_is_draining = false;
    /// Another target has the address now.
    bool m_is_other_target = false;
    /// The answer belongs to another request.
    bool m_is_crossed = false;
    /// Callers take the status for the promise that the request has not run and
    /// never will, which the target does not say.
    bool m_is_promise_unfounded = false;
    std::optional<core::reported_load> m_load;
    /// Requests per second that the target takes from all hosts together.
    std::optional<double> m_rate_limit;
    /// How much longer the target is cold; zero if it is not. Only in answers
    /// to probes.
    std::optional<core::duration> m_cold_left;
};

/// Values sent to the target with an attempt.
struct attempt_metadata
{
    core::duration m_time_left{0};
    /// Name of the intended target.
    std::string m_target;
    core::attempt_number m_attempt = 0;
    /// Customer whose access key the request bears; empty if it needs none.
    std::string m_customer;
};

/// A caller's request for the addresses of entry hosts.
struct address_request
{
    /// Zone of the caller. May be empty or not configured.
    std::string m_zone;
};

struct address_list
{
    std::vector<std::string> m_addresses;
    core::duration m_lifetime{0};
};

/// HTTP conventions of callers and targets: header names, paths and formats.
/// The functions only translate. Lives as long as the host.
struct caller_interface
{
    /// First filter: reads the headers that are addressed to this host. Errors:
    /// malformed_request, deadline_invalid.
    std::function<result<accepted_request>(net::http_request)> m_accept;
    /// Sets the headers of a request for one attempt at a target.
    std::function<void(accepted_request const&, attempt_metadata const&,
                       net::http_headers&)>
        m_set_target_headers;
    std::function<answer_signals(accepted_request const&,
                                 net::http_response_head const&,
                                 core::kind_config const&)>
        m_read_signals;
    /// Header in which targets repeat the id of the request that they answer;
    /// empty if copies of answers cannot be told by it.
    std::string m_request_id_header;
    /// How the connection may be used again after an answer with this head to
    /// the request with this id. Answers that promise that their request has
    /// not run must not be taken for those to other requests.
    std::function<net::reuse(std::string const& request_id,
                             net::http_response_head const&,
                             core::kind_config const&)>
        m_read_reuse;
    /// Reads the head of the answer to a probe of the named target.
    std::function<answer_signals(net::http_response_head const&,
                                 std::string const& target)>
        m_read_probe_signals;
    /// Removes the access key and the name of a customer from the headers of a
    /// request.
    std::function<void(net::http_headers&)> m_remove_credentials;
    /// Removes the headers of an answer that concern only this host.
    std::function<void(net::http_headers&)> m_remove_signal_headers;
    /// Adds the delay after which a refused caller may retry.
    std::function<void(net::http_headers&, core::duration)> m_add_retry_after;

    /// The members below are set only where address requests and readiness
    /// checks have listeners of their own.
    std::function<result<address_request>(net::http_request const&)>
        m_read_address_request;
    std::function<std::string(address_list const&)> m_write_addresses;
    std::string m_readiness_path;
};

/// Conventions of the project itself, described in docs/callers.md.
caller_interface make_default_caller_interface();

} // namespace hawthornspur::serve

#endif
