#ifndef HAWTHORNSPUR_RESULT_CODE_HPP
#define HAWTHORNSPUR_RESULT_CODE_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace hawthornspur
{

/// Numbered results of requests, commands and checks. The meaning of a number
/// never changes. docs/result-codes.md lists all codes.
enum class result_code : std::uint16_t
{
    ok = 0,

    // 1xxx: the request is invalid.
    malformed_request = 1001,
    unknown_service = 1002,
    unknown_kind = 1003,
    body_too_large = 1004,
    headers_too_large = 1005,
    deadline_invalid = 1006,
    once_session_required = 1007,
    once_key_malformed = 1008,
    once_key_expired = 1009,
    once_key_other_incarnation = 1010,
    hop_limit_reached = 1011,
    depth_limit_reached = 1012,
    ambiguous_framing = 1013,
    method_not_allowed = 1014,
    once_key_reused = 1015,
    request_timeout = 1016,
    access_key_unknown = 1017,

    // 2xxx: the request was refused and did not run.
    queue_full = 2001,
    deadline_unreachable = 2002,
    deadline_passed_in_queue = 2003,
    no_target_available = 2004,
    kind_share_full = 2005,
    host_leaving = 2006,
    host_not_ready = 2007,
    once_table_full = 2008,
    spill_refused = 2009,
    retry_budget_empty = 2010,
    target_shed = 2011,
    connect_failed = 2012,
    cancelled_before_dispatch = 2013,
    owner_unreachable = 2014,
    host_paused = 2015,
    home_unreachable = 2016,
    not_pool_owner = 2017,
    too_many_connections = 2018,
    request_suspected = 2019,
    access_keys_unconfirmed = 2020,
    quota_exceeded = 2021,
    entry_left_out = 2022,

    // 3xxx: the request may have run.
    target_silent = 3001,
    target_closed = 3002,
    target_answer_malformed = 3003,
    home_gone = 3004,
    peer_link_lost = 3005,
    deadline_passed_after_dispatch = 3006,
    answer_truncated = 3007,
    cancelled_after_dispatch = 3008,
    stop_bound_reached = 3009,

    // 4xxx: the request ran, but its answer cannot be delivered.
    answer_too_large = 4001,
    answer_not_kept = 4002,

    // 5xxx: configuration documents and the store.
    document_syntax = 5001,
    unknown_field = 5002,
    wrong_type = 5003,
    value_out_of_range = 5004,
    unknown_reference = 5005,
    duplicate_name = 5006,
    missing_field = 5007,
    version_conflict = 5008,
    store_unavailable = 5009,
    stale_generation = 5010,
    not_in_force_everywhere = 5011,
    document_too_large = 5012,
    store_answer_malformed = 5013,
    not_found = 5014,
    history_lost = 5015,

    // 6xxx: messages between hosts.
    frame_malformed = 6001,
    authentication_failed = 6002,
    protocol_version_mismatch = 6003,
    frame_too_large = 6004,
    unexpected_message = 6005,

    // 7xxx: command line, settings and the operating system.
    usage = 7001,
    settings_invalid = 7002,
    file_unreadable = 7003,
    address_unavailable = 7004,
    system_failure = 7005,
};

/// Whether the request behind a result was executed.
enum class execution : std::uint8_t
{
    not_applicable,
    not_run,
    unknown,
    ran,
};

/// One row of the table of result codes.
struct result_code_info
{
    result_code m_code;
    execution m_execution;
    /// HTTP status sent with this code; 0 if the code is never sent to a
    /// caller.
    std::uint16_t m_http_status;
    std::string_view m_name;
    std::string_view m_meaning;
};

/// All rows in ascending order of codes, with static storage duration.
std::span<result_code_info const> result_code_table() noexcept;

/// Returns the row of a code. The code must be one of the enumerators.
result_code_info const& info(result_code code) noexcept;

/// Returns the value of the Hawthornspur-Outcome header: "not-run", "unknown",
/// "ran" or "none".
std::string_view to_string(execution value) noexcept;

} // namespace hawthornspur

#endif
