#ifndef HAWTHORNSPUR_SERVE_RELAY_HPP
#define HAWTHORNSPUR_SERVE_RELAY_HPP

#include "core/ids.hpp"

#include <cstddef>
#include <string_view>

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Starts to relay the answer of an attempt whose head has arrived.
void start_relay(entry_host& host, active_call& call,
                 core::attempt_number attempt);

/// Relays a part of an answer. Data of attempts that are not relayed is
/// dropped.
void relay_data(entry_host& host, core::request_id id,
                core::attempt_number attempt, std::string_view data);

/// Bytes of one answer that may wait for its receiver: less the more calls the
/// host has. Above that, nothing more is read from the target or the peer.
std::size_t max_buffered_bytes(entry_host const& host);

/// Keeps a part of an at-most-once answer for later copies. An answer above
/// limits::max_kept_answer_bytes is not kept at all.
void keep_answer_data(active_call& call, std::string_view data);

/// Resumes reading the answer from the target, or returns window to the host
/// that sends it.
void resume_reading(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
