#ifndef HAWTHORNSPUR_CORE_ANSWER_HISTORY_HPP
#define HAWTHORNSPUR_CORE_ANSWER_HISTORY_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

/// The requests that one connection has carried and its server has answered. A
/// faulty server may send a copy of any of these answers at any time later.
/// Requests are known by a hash of their ids, so that two may rarely be taken
/// for one.
struct answer_history
{
    std::uint64_t m_answers = 0;
    /// Hashes of the ids of refused requests.
    std::vector<std::size_t> m_refused;
    /// The same of the requests answered last and not refused.
    std::vector<std::size_t> m_answered;
    /// Position of the oldest one, after there are as many as are kept.
    std::size_t m_oldest_answered = 0;
};

/// Records that the server has answered the request with this id without
/// refusing it. The id is empty if the request has none.
void record_answer(answer_history& history, std::string_view request_id = {});

/// Records that the server has refused the request with this id, or has
/// answered it with another failure.
void record_refusal(answer_history& history, std::string_view request_id);

/// Whether the server has refused the request with this id. A copy of that
/// refusal could not be told from an answer to the request, if the connection
/// carried it again.
bool has_refused(answer_history const& history, std::string_view request_id);

/// Whether an answer with the first id is a copy of the answer to an earlier
/// request, and not the answer to the request in flight, which has the second
/// id. Copies are known of all refusals and of the other answers sent last.
bool is_surplus(answer_history const& history, std::string_view answer_id,
                std::string_view request_id);

/// Whether the connection is to be closed, so that the history stays small.
bool is_full(answer_history const& history);

} // namespace hawthornspur::core

#endif
