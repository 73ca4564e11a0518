#ifndef HAWTHORNSPUR_CORE_CONFIGURATION_PROOF_HPP
#define HAWTHORNSPUR_CORE_CONFIGURATION_PROOF_HPP

#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>

namespace hawthornspur::core
{

/// The newest confirmation that a host has: at m_time, the store's newest
/// document had at most m_generation. The time is that at which the question
/// was sent, so a delayed answer only looks older than it is.
struct configuration_proof
{
    std::uint64_t m_generation = 0;
    /// Nothing before the first confirmation.
    std::optional<time_point> m_time;
};

/// Records the store's answer to a question sent at `asked`. `generation` is
/// the one in force after the answer was applied. Returns whether the proof
/// became newer.
bool record_store_confirmation(configuration_proof& proof, time_point asked,
                               std::uint64_t generation);

/// Records another host's reply to a question sent at `asked`. `age` is the age
/// of that host's confirmation when it replied. Returns whether the proof
/// became newer.
bool record_peer_confirmation(configuration_proof& proof, time_point asked,
                              duration age, std::uint64_t generation);

/// Whether access keys of the generation in force may be used at `now`: it is
/// at least the confirmed one, and the confirmation is younger than 0.95 times
/// the bound.
bool is_fresh(configuration_proof const& proof,
              std::uint64_t generation_in_force, time_point now,
              duration bound);

/// Age of the confirmation; nothing before the first one.
std::optional<duration> proof_age(configuration_proof const& proof,
                                  time_point now);

/// A question to another host that may still be answered.
struct proof_question
{
    std::uint64_t m_number = 0;
    time_point m_asked;
};

/// When and whom this host asked for a confirmation.
struct proof_schedule
{
    std::optional<time_point> m_last_store_question;
    std::optional<time_point> m_last_peer_turn;
    /// Questions since the proof was last young enough, all in vain. The next
    /// one goes to the next host in turn.
    std::size_t m_turn = 0;
    /// Numbers of questions to other hosts start at 1.
    std::uint64_t m_last_number = 0;
    /// The latest questions to other hosts, oldest first.
    std::deque<proof_question> m_open_questions;
    /// Time of the last request with an access key, or of the last question of
    /// another host.
    std::optional<time_point> m_last_demand;
};

struct proof_inputs
{
    std::uint64_t m_generation_in_force = 0;
    time_point m_now;
    /// Time after which a withdrawn key must not be used.
    duration m_bound{0};
    /// This host confirms for its zone, whether it gets requests or not.
    bool m_confirms_for_zone = false;
    /// The hosts to ask, the one that confirms for the own zone first.
    std::span<std::string const> m_peers;
};

/// Whether next_proof_step() would ask one of m_peers, which need not be set.
bool is_peer_turn_due(proof_schedule const& schedule,
                      configuration_proof const& proof,
                      proof_inputs const& inputs);

/// What to do next to keep the proof fresh.
struct proof_step
{
    bool m_asks_store = false;
    /// Host to ask; empty if none is due. The question has m_question.
    std::string m_peer;
    std::uint64_t m_question = 0;
};

/// Records that this host needs a fresh proof now.
void record_proof_demand(proof_schedule& schedule, time_point now);

/// Decides whom to ask now, and records the questions as sent.
///
/// The host that confirms for its zone asks the store five times within the
/// bound. Any other host, and one whose store is silent, asks other hosts, only
/// while it needs the proof: one after the other until a reply is young enough,
/// and after all of them the store itself, since its own path may be the only
/// one that works.
///
/// Load pattern: a hundred hosts that polled the store every second would cost
/// more calls than everything else together.
proof_step next_proof_step(proof_schedule& schedule,
                           configuration_proof const& proof,
                           proof_inputs const& inputs);

/// Time at which the question with this number was sent; nothing if it is
/// unknown or was answered before.
std::optional<time_point> take_question(proof_schedule& schedule,
                                        std::uint64_t number);

/// Time until the store can be asked again without a fresh proof.
duration until_next_question(proof_schedule const& schedule, time_point now,
                             duration bound);

} // namespace hawthornspur::core

#endif
