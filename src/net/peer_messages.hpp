#ifndef HAWTHORNSPUR_NET_PEER_MESSAGES_HPP
#define HAWTHORNSPUR_NET_PEER_MESSAGES_HPP

#include "base/result.hpp"
#include "core/ids.hpp"
#include "core/newest_document.hpp"
#include "core/time.hpp"
#include "net/http_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornspur::net
{

/// Identifies a forwarded request on a link. Chosen by the forwarding host,
/// which never reuses it while it runs.
using forward_id = std::uint64_t;

/// Why a request is forwarded. Determines how the receiver may handle it.
enum class forward_purpose : std::uint8_t
{
    /// To the owner of the pool.
    to_owner,
    /// To the owner of the pool in another zone, which refuses the request at
    /// once if it has no free slot.
    spill,
    /// To the home of the session of the at-most-once key.
    to_home,
};

/// Attempts that hosts have made of a request, over all of them.
struct attempt_record
{
    int m_count = 0;
    /// Names of their targets, as far as they are known.
    std::vector<std::string> m_targets;
};

struct forward_request
{
    forward_id m_id = 0;
    forward_purpose m_purpose = forward_purpose::to_owner;
    std::string m_service;
    /// Zone of the pool.
    std::string m_zone;
    std::string m_kind;
    /// Generation of the configuration under which the kind was chosen.
    std::uint64_t m_generation = 0;
    core::duration m_time_left{0};
    std::string m_once_key;
    int m_earlier_attempts = 0;
    int m_hops = 0;
    /// Head of the request and size of its body in bytes. The body follows in
    /// body_chunk messages.
    std::string m_method;
    std::string m_uri;
    http_headers m_headers;
    std::uint64_t m_body_size = 0;
    /// The id that the caller gave the request.
    std::string m_request_id = {};
    attempt_record m_attempts = {};
    /// Customer whose access key the request bears; empty if it needs none.
    std::string m_customer = {};
};

struct body_chunk
{
    forward_id m_id = 0;
    std::string m_data;
};

struct answer_head
{
    forward_id m_id = 0;
    http_response_head m_head;
    /// Length of the body in bytes, if known.
    std::optional<std::uint64_t> m_length;
};

struct answer_chunk
{
    forward_id m_id = 0;
    std::string m_data;
};

/// The answer is complete.
struct answer_end
{
    forward_id m_id = 0;
};

/// The request was refused or failed. After an answer_head the answer is
/// incomplete.
struct refusal
{
    forward_id m_id = 0;
    result_code m_code = result_code::ok;
    /// Delay after which the caller may retry a request that did not run; zero
    /// if unknown.
    core::duration m_retry_after = core::duration(0);
    /// Attempts so far, including those made before the request was forwarded.
    attempt_record m_attempts = {};
};

struct cancel_request
{
    forward_id m_id = 0;
};

/// Allows the peer to send more bytes of an answer.
struct window_update
{
    forward_id m_id = 0;
    std::uint32_t m_bytes = 0;
};

struct pool_summary_message
{
    std::string m_service;
    std::string m_zone;
    int m_free_slots = 0;
    int m_slots = 0;
    std::uint64_t m_queued = 0;
    core::duration m_expected_wait{0};
};

/// Reports the generation that is in force at the sender.
struct generation_announcement
{
    /// 0 if there is none.
    std::uint64_t m_generation = 0;
    /// The newest version in the store that the sender knows of, and whether it
    /// is the one in force there. Nothing if the sender has not read any.
    std::optional<core::document_position> m_newest = {};
    bool m_is_newest_used = false;
};

struct configuration_request
{
    /// The generation that is in force at the sender.
    std::uint64_t m_generation = 0;
};

/// A configuration document: as the users' store holds it, otherwise in
/// canonical form.
struct configuration_reply
{
    std::uint64_t m_generation = 0;
    std::string m_document;
};

struct handover_target
{
    std::string m_target;
    int m_in_flight = 0;
    double m_limit = 1;
};

/// The state of a pool, sent by its previous owner to the next one.
struct handover_message
{
    std::string m_service;
    std::string m_zone;
    std::vector<handover_target> m_targets;
};

/// Reports that a target has announced that it is leaving.
struct target_leaving
{
    std::string m_service;
    std::string m_target;
    /// Of the process that announced it; 0 if unknown.
    std::uint64_t m_incarnation = 0;
};

struct advertised_limit
{
    std::string m_target;
    /// Requests per second from all hosts together.
    double m_limit = 0;
};

/// All rate limits that the targets of a pool advertise, sent by its owner.
struct rate_limits_message
{
    std::string m_service;
    std::string m_zone;
    std::vector<advertised_limit> m_limits;
};

/// One end of a target; see core::crash_report.
struct crash_report_entry
{
    /// See core::crash_report::m_target.
    std::uint64_t m_target_hash = 0;
    core::duration m_age{0};
    double m_weight = 1;
};

/// What the sender knows of requests with one content. Times are ages, since
/// hosts have no common clock.
struct suspect_entry
{
    core::content_id m_content;
    std::vector<crash_report_entry> m_reports;
    std::optional<core::duration> m_last_answer_age = std::nullopt;
    std::optional<core::duration> m_last_trial_age = std::nullopt;
};

/// Requests that are suspected to crash targets: the changed records, or all on
/// a new link.
struct crash_suspects_message
{
    std::vector<suspect_entry> m_entries;
};

/// Asks for the receiver's latest confirmation that a configuration is recent.
struct configuration_proof_request
{
    /// Chosen by the sender, which never reuses it.
    std::uint64_t m_number = 0;
};

/// The latest confirmation that the sender has, from the store or another host;
/// see core::configuration_proof.
struct configuration_proof_message
{
    /// Of the request.
    std::uint64_t m_number = 0;
    std::uint64_t m_generation = 0;
    /// At the time of the reply, since hosts have no common clock.
    core::duration m_age{0};
};

/// The zones that operators have evacuated, as read from the store.
struct evacuated_zones_message
{
    /// Where in the history of the store they were read.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_zones;
};

/// Upper bound of the numbers of tokens in the messages about quotas.
inline constexpr double max_quota_tokens = 1e9;

/// Upper bound of the delays in the messages about quotas.
inline constexpr core::duration max_quota_delay = std::chrono::hours(1);

/// Upper bound of the customers in one message about quotas.
inline constexpr std::size_t max_quota_customers = 1000;

/// What the sender needs and reports for one customer. The numbers are from 0
/// to max_quota_tokens.
struct quota_question
{
    std::string m_customer;
    double m_wanted = 0;
    /// Tokens used since the last question.
    double m_used = 0;
    /// Tokens that ended or were returned without use since the last question.
    double m_unused = 0;
};

/// Requests tokens from the home of the customers.
struct quota_request
{
    std::uint64_t m_sequence = 0;
    std::vector<quota_question> m_questions;
};

/// Tokens for one customer. Customers that have their home elsewhere are left
/// out of the answer.
struct quota_answer
{
    std::string m_customer;
    double m_tokens = 0;
    /// Delay until the next token arises; 0 if all that were wanted are
    /// granted.
    core::duration m_next_token{0};
};

/// Answers the quota_request with the same sequence number.
struct quota_grant
{
    std::uint64_t m_sequence = 0;
    std::vector<quota_answer> m_answers;
};

using peer_message = std::variant<
    forward_request, body_chunk, answer_head, answer_chunk, answer_end, refusal,
    cancel_request, window_update, pool_summary_message, configuration_request,
    configuration_reply, handover_message, target_leaving,
    generation_announcement, rate_limits_message, crash_suspects_message,
    configuration_proof_request, configuration_proof_message, quota_request,
    quota_grant, evacuated_zones_message>;

/// Encodes a message as a msgpack array [type, version, fields...].
std::string encode(peer_message const& message);

/// Decodes a message. Unknown trailing fields are ignored. Errors:
/// frame_malformed, protocol_version_mismatch, unexpected_message for an
/// unknown type.
result<peer_message> decode(std::string_view bytes);

} // namespace hawthornspur::net

#endif
