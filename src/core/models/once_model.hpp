#ifndef HAWTHORNSPUR_CORE_MODELS_ONCE_MODEL_HPP
#define HAWTHORNSPUR_CORE_MODELS_ONCE_MODEL_HPP

#include "core/once_table.hpp"

#include <array>
#include <map>
#include <set>

namespace hawthornspur::core::models
{

/// Events in a model of two homes: callers retry, the network loses, delays
/// and reorders messages, targets may refuse, homes pause and restart.
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
    cancel_copy,
    lose_link,
    pause,
    restart_home,
    change_lifetime,
    count,
};

/// One event. The arguments are random; what the step applies to and its
/// details are derived from them.
struct once_step
{
    /// Relative frequency of each kind. Most steps deliver messages, so that
    /// most requests end.
    static constexpr std::array<std::uint32_t, 13> weights{
        2, 8, 14, 60, 3, 3, 24, 2, 2, 3, 1, 1, 1};
    once_step_kind m_kind = once_step_kind::advance_time;
    std::uint32_t m_first_argument = 0;
    std::uint32_t m_second_argument = 0;
};

/// A request with an at-most-once key. Variant 0 is the regular request;
/// variant 1 is a different request for which a faulty caller reuses the key.
struct caller_request
{
    std::size_t m_home = 0;
    once_key m_key;
    /// Executions of each variant.
    std::array<int, 2> m_runs{};
};

/// A request that runs at its home.
struct running_request
{
    /// Index in once_model::m_requests.
    std::size_t m_request = 0;
    std::size_t m_variant = 0;
    /// 0 while queued at the home.
    std::uint32_t m_attempt = 0;
    /// Copies that joined and wait for the answer.
    std::set<request_id> m_copies;
};

struct home_model
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    once_table_ptr m_table;
    /// Number of steps for which the home is still paused.
    std::uint32_t m_paused_steps = 0;
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
    /// The first violated invariant; empty while all hold.
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
