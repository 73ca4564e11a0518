#ifndef HAWTHORNSPUR_SERVE_RELAY_HPP
#define HAWTHORNSPUR_SERVE_RELAY_HPP

#include "core/ids.hpp"

#include <string_view>

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Starts to relay the answer of an attempt whose head has arrived.
void start_relay(entry_host& host, active_call& call,
                 core::attempt_number attempt);

/// Relays a piece of an answer. Pieces of attempts that are not relayed are
/// dropped.
void relay_data(entry_host& host, core::request_id id,
                core::attempt_number attempt, std::string_view data);

/// Keeps a piece of an at-most-once answer for later copies, up to a bound.
void keep_answer_data(active_call& call, std::string_view data);

/// Reads on at the target after the receiver has caught up.
void resume_reading(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
