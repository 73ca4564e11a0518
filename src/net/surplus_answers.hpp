#ifndef HAWTHORNSPUR_NET_SURPLUS_ANSWERS_HPP
#define HAWTHORNSPUR_NET_SURPLUS_ANSWERS_HPP

#include "base/result.hpp"
#include "net/answer_validator.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// Tells answers to earlier requests from the answer to the request in flight.
struct surplus_rule
{
    /// Header with the id of the request that an answer belongs to.
    std::string_view m_id_header;
    /// Whether an answer with this id belongs to an earlier request.
    std::function<bool(std::string_view id)> m_is_surplus;
};

/// The surplus answers on a connection: copies of answers to earlier requests,
/// which a faulty server sends in front of the answer that is due.
struct surplus_answers
{
    /// Answers whose heads were discarded.
    int m_count = 0;
    /// Size of these heads and of the bodies that they announce.
    std::uint64_t m_bytes = 0;
    /// Rest of the body that is being discarded.
    std::uint64_t m_body_left = 0;
    /// End of the part of that body received so far.
    std::string m_body_end;
};

/// Adds received bytes and returns what the validator passes of the answer to
/// the request in flight. Surplus answers with a length are discarded before
/// it; others are passed on. The body of a discarded answer must not contain
/// the start of another answer: a copy that breaks off would swallow the true
/// one. Errors: target_answer_malformed, also for surplus answers beyond a few.
result<std::string> filter_answers(surplus_answers& surplus,
                                   answer_validator& validator,
                                   std::string_view bytes,
                                   surplus_rule const& rule);

} // namespace hawthornspur::net

#endif
