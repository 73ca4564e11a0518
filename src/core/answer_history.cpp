#include "core/answer_history.hpp"

#include <algorithm>
#include <functional>

namespace hawthornspur::core
{

namespace
{

/// With ids of 8 bytes, half a KiB for each connection.
constexpr std::size_t max_refused_requests = 64;

std::size_t hash_id(std::string_view request_id)
{
    return std::hash<std::string_view>()(request_id);
}

} // namespace

void record_answer(answer_history& history)
{
    ++history.m_answers;
}

void record_refusal(answer_history& history, std::string_view request_id)
{
    ++history.m_answers;
    history.m_refused.push_back(hash_id(request_id));
}

bool has_refused(answer_history const& history, std::string_view request_id)
{
    return std::find(history.m_refused.begin(), history.m_refused.end(),
                     hash_id(request_id)) != history.m_refused.end();
}

bool is_full(answer_history const& history)
{
    return history.m_refused.size() >= max_refused_requests;
}

} // namespace hawthornspur::core
