#include "core/configuration_proof.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

/// The rest of the bound covers the time between the check of a request and the
/// reading of the clock, and differences between the rates of two clocks.
constexpr double usable_share = 0.95;

/// With five questions, the proof outlasts three that get no answer.
constexpr int store_questions_per_bound = 5;
/// Without a fresh proof requests are refused, so the host asks more often.
constexpr int urgent_store_questions_per_bound = 10;

/// Hosts that do not confirm for a zone ask the store only after all other
/// hosts. Hundreds of them may be cut off from each other at the same time.
constexpr int standby_store_questions_per_bound = 3;

/// Other hosts' confirmations are as old as a question to the store is rare. A
/// younger proof than this is therefore not worth a question to them.
constexpr int sufficient_age_divisor = 5;
constexpr int sufficient_age_factor = 2;

/// Pauses between questions to different hosts. A reply from another zone takes
/// a tenth of the shorter one. With a bound of 5 s they are 200 and 50 ms, so a
/// request that waits for 150 ms outlasts two silent hosts.
constexpr int peer_questions_per_bound = 25;
constexpr int urgent_peer_questions_per_bound = 100;

/// A host needs the proof for this part of the bound after a request.
constexpr int demand_divisor = 5;

/// Replies to earlier questions are no longer of use.
constexpr std::size_t max_open_questions = 8;

bool record(configuration_proof& proof, time_point time,
            std::uint64_t generation)
{
    if (proof.m_time && time <= *proof.m_time)
    {
        return false;
    }
    proof.m_time = time;
    // A store that came back from an earlier state may confirm a lower
    // generation. Keys withdrawn by the higher one stay withdrawn.
    proof.m_generation = std::max(proof.m_generation, generation);
    return true;
}

bool is_due(std::optional<time_point> const& last, time_point now,
            duration interval)
{
    return !last || now - *last >= interval;
}

duration store_interval(bool has_fresh_proof, duration bound)
{
    return bound / (has_fresh_proof ? store_questions_per_bound
                                    : urgent_store_questions_per_bound);
}

/// Whether the proof is fresh, and so young that other hosts need not be asked.
bool is_young(configuration_proof const& proof, proof_inputs const& inputs)
{
    auto const sufficient_age =
        inputs.m_bound / sufficient_age_divisor * sufficient_age_factor;
    return is_fresh(proof, inputs.m_generation_in_force, inputs.m_now,
                    inputs.m_bound) &&
           inputs.m_now - *proof.m_time < sufficient_age;
}

void ask_store(proof_schedule& schedule, time_point now, proof_step& step)
{
    schedule.m_last_store_question = now;
    step.m_asks_store = true;
}

void ask_peer(proof_schedule& schedule, std::string const& peer, time_point now,
              proof_step& step)
{
    step.m_peer = peer;
    step.m_question = ++schedule.m_last_number;
    schedule.m_open_questions.push_back({step.m_question, now});
    if (schedule.m_open_questions.size() > max_open_questions)
    {
        schedule.m_open_questions.pop_front();
    }
}

/// Asks the next host in turn, or the store after all of them.
void take_turn(proof_schedule& schedule, proof_inputs const& inputs,
               proof_step& step)
{
    auto const choices =
        inputs.m_peers.size() + (inputs.m_confirms_for_zone ? 0 : 1);
    if (choices == 0)
    {
        return;
    }
    auto const chosen = schedule.m_turn++ % choices;
    schedule.m_last_peer_turn = inputs.m_now;
    if (chosen < inputs.m_peers.size())
    {
        ask_peer(schedule, inputs.m_peers[chosen], inputs.m_now, step);
    }
    else if (is_due(schedule.m_last_store_question, inputs.m_now,
                    inputs.m_bound / standby_store_questions_per_bound))
    {
        ask_store(schedule, inputs.m_now, step);
    }
}

} // namespace

bool record_store_confirmation(configuration_proof& proof, time_point asked,
                               std::uint64_t generation)
{
    return record(proof, asked, generation);
}

bool record_peer_confirmation(configuration_proof& proof, time_point asked,
                              duration age, std::uint64_t generation)
{
    return record(proof, asked - age, generation);
}

bool is_fresh(configuration_proof const& proof,
              std::uint64_t generation_in_force, time_point now, duration bound)
{
    return proof.m_time && generation_in_force >= proof.m_generation &&
           now - *proof.m_time < bound * usable_share;
}

std::optional<duration> proof_age(configuration_proof const& proof,
                                  time_point now)
{
    return proof.m_time ? std::optional(now - *proof.m_time) : std::nullopt;
}

void record_proof_demand(proof_schedule& schedule, time_point now)
{
    schedule.m_last_demand = now;
}

bool is_peer_turn_due(proof_schedule const& schedule,
                      configuration_proof const& proof,
                      proof_inputs const& inputs)
{
    auto const& bound = inputs.m_bound;
    bool const is_needed =
        schedule.m_last_demand &&
        inputs.m_now - *schedule.m_last_demand < bound / demand_divisor;
    bool const has_fresh_proof =
        is_fresh(proof, inputs.m_generation_in_force, inputs.m_now, bound);
    auto const interval =
        bound / (has_fresh_proof ? peer_questions_per_bound
                                 : urgent_peer_questions_per_bound);
    return is_needed && !is_young(proof, inputs) &&
           is_due(schedule.m_last_peer_turn, inputs.m_now, interval);
}

proof_step next_proof_step(proof_schedule& schedule,
                           configuration_proof const& proof,
                           proof_inputs const& inputs)
{
    proof_step step;
    auto const& bound = inputs.m_bound;
    bool const has_fresh_proof =
        is_fresh(proof, inputs.m_generation_in_force, inputs.m_now, bound);
    if (inputs.m_confirms_for_zone &&
        is_due(schedule.m_last_store_question, inputs.m_now,
               store_interval(has_fresh_proof, bound)))
    {
        ask_store(schedule, inputs.m_now, step);
    }
    if (is_young(proof, inputs))
    {
        schedule.m_turn = 0;
    }
    else if (is_peer_turn_due(schedule, proof, inputs))
    {
        take_turn(schedule, inputs, step);
    }
    return step;
}

std::optional<time_point> take_question(proof_schedule& schedule,
                                        std::uint64_t number)
{
    auto& open = schedule.m_open_questions;
    auto const found = std::find_if(open.begin(), open.end(),
                                    [&](proof_question const& question)
                                    { return question.m_number == number; });
    if (found == open.end())
    {
        return std::nullopt;
    }
    auto const asked = found->m_asked;
    open.erase(found);
    return asked;
}

duration until_next_question(proof_schedule const& schedule, time_point now,
                             duration bound)
{
    auto const due =
        schedule.m_last_store_question
            ? *schedule.m_last_store_question + store_interval(false, bound)
            : now;
    return std::max(due - now, duration(0));
}

} // namespace hawthornspur::core
