#include "core/answer_history.hpp"

#include <algorithm>
#include <functional>

namespace hawthornspur::core
{

namespace
{

/// With ids of 8 bytes, half a KiB for each connection.
constexpr std::size_t max_refused_requests = 64;
constexpr std::size_t max_answered_requests = 32;

std::size_t hash_id(std::string_view request_id)
{
    return std::hash<std::string_view>()(request_id);
}

bool contains(std::vector<std::size_t> const& hashes,
              std::string_view request_id)
{
    return std::find(hashes.begin(), hashes.end(), hash_id(request_id)) !=
           hashes.end();
}

} // namespace

void record_answer(answer_history& history, std::string_view request_id)
{
    ++history.m_answers;
    if (request_id.empty())
    {
        return;
    }
    if (history.m_answered.size() < max_answered_requests)
    {
        history.m_answered.push_back(hash_id(request_id));
        return;
    }
    history.m_answered[history.m_oldest_answered] = hash_id(request_id);
    history.m_oldest_answered =
        (history.m_oldest_answered + 1) % max_answered_requests;
}

void record_refusal(answer_history& history, std::string_view request_id)
{
    ++history.m_answers;
    history.m_refused.push_back(hash_id(request_id));
}

bool has_refused(answer_history const& history, std::string_view request_id)
{
    return contains(history.m_refused, request_id);
}

bool is_surplus(answer_history const& history, std::string_view answer_id,
                std::string_view request_id)
{
    return !answer_id.empty() && answer_id != request_id &&
           (contains(history.m_refused, answer_id) ||
            contains(history.m_answered, answer_id));
}

bool is_full(answer_history const& history)
{
    return history.m_refused.size() >= max_refused_requests;
}

} // namespace hawthornspur::core
