#ifndef HAWTHORNSPUR_CORE_MODELS_ONCE_MODEL_HPP
#define HAWTHORNSPUR_CORE_MODELS_ONCE_MODEL_HPP

#include "core/once_table.hpp"

#include <array>
#include <map>
#include <set>

namespace hawthornspur::core::models
{

/// One event of the world around two homes: callers that retry, a network that
/// loses, delays and reorders messages, and targets that may refuse.
enum class once_step_kind : std::uint8_t
{
    advance_time,
    new_request,
    send_copy,
    deliver,
    drop,
    duplicate_copy,
    forward,
    cancel,
    copy_leaves,
    lose_link,
    pause,
    restart_home,
    change_lifetime,
    count,
};

/// The numbers choose among what the step can be applied to.
struct once_step
{
    /// Most steps move messages, so that requests get to their end.
    static constexpr std::array<std::uint32_t, 13> weights{
        2, 8, 14, 60, 3, 3, 24, 2, 2, 3, 1, 1, 1};
    once_step_kind m_kind = once_step_kind::advance_time;
    std::uint32_t m_first_argument = 0;
    std::uint32_t m_second_argument = 0;
};

/// What a caller wants done once. A caller at fault may use the key for a
/// second, different request.
struct caller_request
{
    std::size_t m_home = 0;
    once_key m_key;
    std::array<int, 2> m_runs{};
};

struct running_request
{
    std::size_t m_request = 0;
    std::size_t m_variant = 0;
    /// 0 while queued at the home.
    std::uint32_t m_attempt = 0;
    std::set<request_id> m_copies;
};

struct home_model
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    once_table_ptr m_table;
    /// Steps until the home runs again.
    std::uint32_t m_pause = 0;
    std::map<request_id, running_request> m_running;
};

enum class once_message_kind : std::uint8_t
{
    copy_to_home,
    forward_to_owner,
    answer,
    not_run,
    unknown,
};

struct once_message
{
    once_message_kind m_kind = once_message_kind::copy_to_home;
    std::size_t m_home = 0;
    std::uint64_t m_incarnation = 0;
    std::size_t m_request = 0;
    std::size_t m_variant = 0;
    request_id m_id;
    std::uint32_t m_attempt = 0;
};

struct once_model
{
    time_point m_now;
    std::uint64_t m_next_id = 1;
    std::uint64_t m_next_incarnation = 100;
    std::array<home_model, 2> m_homes;
    std::vector<caller_request> m_requests;
    std::vector<once_message> m_messages;
    /// Empty while all invariants hold.
    std::string m_violation;
    std::uint64_t m_runs = 0;
    std::uint64_t m_joins = 0;
    std::uint64_t m_replays = 0;
    std::uint64_t m_refusals = 0;
};

once_model make_once_model();
void apply(once_model& model, once_step const& step);

} // namespace hawthornspur::core::models

#endif
