#ifndef HAWTHORNSPUR_SERVE_CALL_HPP
#define HAWTHORNSPUR_SERVE_CALL_HPP

#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/once_key.hpp"
#include "core/once_table.hpp"
#include "core/pool.hpp"
#include "core/time.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"
#include "net/peer_messages.hpp"
#include <hawthornspur/result_code.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::serve
{

/// Receives the answer of a call and sends it to the HTTP caller or to the host
/// that forwarded the request. The functions do nothing once that receiver has
/// closed.
struct answer_sink
{
    std::function<void(net::http_response_head, std::optional<std::uint64_t>)>
        m_start;
    std::function<void(std::string_view)> m_write;
    std::function<void()> m_end;
    /// Sends a refusal, or aborts the answer if m_start was called. The
    /// duration is the retry delay for a request that did not run.
    std::function<void(result_code, core::duration)> m_fail;
    /// Bytes written that the receiver has not read yet.
    std::function<std::size_t()> m_buffered_bytes;
};

/// Sender of a request, which decides whether this host may forward it.
enum class call_origin : std::uint8_t
{
    caller,
    /// Forwarded to this host as owner of the pool.
    forwarded_to_owner,
    /// Spilled from another zone.
    spilled,
    /// Forwarded to this host as home of the session.
    forwarded_to_home,
};

/// Result of the accept filter: the request as received. No later filter writes
/// to it, since a call may pass the filters again under another document.
struct accepted_request
{
    net::http_request m_request;
    /// Id that the caller gave the request, for logs and to match answers.
    std::string m_request_id;
    /// Service that the caller named, or that the forwarding host chose. Empty
    /// if it is to be found by route.
    std::string m_service;
    /// Zone that the caller named, or that of the pool if the request was
    /// forwarded to its owner. May be unknown.
    std::string m_zone;
    /// Kind that the forwarding host chose; empty for requests of callers.
    std::string m_kind;
    std::optional<core::duration> m_time_left;
    std::optional<std::string> m_once_key;
    int m_earlier_attempts = 0;
    int m_depth = 0;
    /// Access key of the caller's customer. Never logged, hashed or passed on.
    std::string m_access_key;
};

/// Result of the classify filter. It shares ownership of the configuration, so
/// that the request finishes under the rules with which it started.
struct classified_request
{
    std::shared_ptr<core::configuration const> m_configuration;
    core::service_config const* m_service = nullptr;
    core::kind_config const* m_kind = nullptr;
    /// Zone of the caller or of the pool; one that the configuration has.
    std::string m_zone;
    core::time_point m_deadline;
    /// Time until which an answer has its full value to the caller.
    std::optional<core::time_point> m_objective;
};

/// How the service and kind of a request are found.
enum class lookup_method : std::uint8_t
{
    by_route,
    /// By the service that the caller named.
    by_service,
    /// By the service and kind that the forwarding host chose.
    by_kind,
};

/// The passes of a call through the classify filter, for logs.
struct classification_record
{
    int m_passes = 0;
    /// Method and generation of the last pass.
    lookup_method m_method = lookup_method::by_route;
    std::uint64_t m_generation = 0;
};

/// One attempt of a call at a target.
struct call_attempt
{
    net::exchange_id m_exchange_id = 0;
    core::target_id m_target;
    std::string m_target_name;
    /// Of the target's process that was listed when the attempt began.
    std::uint64_t m_target_incarnation = 0;
    core::time_point m_start_time;
    /// The target reported that it did not run the request. The answer is not
    /// relayed.
    bool m_is_shed = false;
    /// The status means "not run" to callers of a request that may run only
    /// once, but the target does not say so. The answer is not relayed.
    bool m_is_promise_unfounded = false;
    /// Another target has the address now and did not run the request.
    bool m_is_other_target = false;
    bool m_is_server_error = false;
    bool m_is_draining = false;
    /// What its connection had carried before, once the head has arrived.
    net::connection_use m_connection_use;
    std::optional<core::reported_load> m_load;
    /// Head of the answer, held until the pool decides which attempt is
    /// relayed.
    std::optional<net::http_response_head> m_head;
    std::optional<std::uint64_t> m_length;
};

/// A request that this host forwarded to another one.
struct forwarded_call
{
    std::string m_host_name;
    net::forward_id m_id = 0;
    net::forward_purpose m_purpose = net::forward_purpose::to_owner;
    /// Answer bytes received and not yet returned to the sender as window.
    std::uint32_t m_ungranted_bytes = 0;
};

/// One request in the pipeline, from its arrival until it is answered or
/// refused.
struct active_call
{
    core::request_id m_id;
    call_origin m_origin = call_origin::caller;
    accepted_request m_accepted;
    classified_request m_classified;
    classification_record m_classification;
    core::time_point m_arrival_time;
    int m_hops = 0;
    /// Counted in the repeat budget of its service at this host.
    bool m_is_counted = false;
    /// Attempts that other hosts have made, or may have made before they were
    /// lost.
    net::attempt_record m_prior_attempts;
    core::pool_id m_pool;
    /// Name of the customer whose access key the request bears; empty if it
    /// needs none.
    std::string m_customer;
    /// Has taken a token of its customer's quota at this host.
    bool m_is_quota_counted = false;
    answer_sink m_sink;
    bool m_is_receiver_closed = false;
    /// Time since which the call waits for the proof that access keys are
    /// recent.
    std::optional<core::time_point> m_proof_awaited_since;
    /// Retry delay reported by the host that refused the request; 0 if none.
    core::duration m_retry_after{0};

    /// Set while this host, as home of the key, runs the request.
    std::optional<core::once_key> m_running_key;
    bool m_is_joined_copy = false;
    std::optional<core::kept_answer> m_kept_answer;
    bool m_is_answer_kept = false;

    core::content_id m_content;
    /// Targets that have ended under requests with this content.
    int m_target_ends = 0;

    bool m_is_queued = false;
    /// Number of times that another zone refused the spilled request.
    int m_spill_refusals = 0;
    std::map<core::attempt_number, call_attempt> m_attempts;
    int m_attempt_count = 0;
    /// Of these, attempts that reached no target.
    int m_unsent_attempts = 0;
    /// Targets of this host's attempts.
    std::vector<std::string> m_tried_targets;
    core::attempt_number m_relayed_attempt = 0;
    bool m_is_answer_started = false;
    core::duration m_target_time{0};

    std::optional<forwarded_call> m_forward;
    /// Set once an attempt that has ended, or a host that was lost, may have
    /// run the request: the code to fail with. Only an idempotent kind allows
    /// to send the request again.
    std::optional<result_code> m_may_have_run;
    std::vector<std::string> m_excluded_hosts;
};

} // namespace hawthornspur::serve

#endif
