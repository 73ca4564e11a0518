#ifndef HAWTHORNSPUR_CORE_MODELS_CLUSTER_SCRIPT_HPP
#define HAWTHORNSPUR_CORE_MODELS_CLUSTER_SCRIPT_HPP

#include "core/models/cluster.hpp"

#include <array>

namespace hawthornspur::core::models
{

/// A fault or an operator's action in a simulated cluster.
enum class cluster_step_kind : std::uint8_t
{
    wait,
    kill,
    start,
    pause,
    drain,
    cut_off,
    split_zones,
    heal,
    set_loss,
    submit,
    submit_race,
    toggle_store,
    set_stale_reads,
    count,
};

struct cluster_step
{
    /// Relative frequency of each kind.
    static constexpr std::array<std::uint32_t, 13> weights{2, 2, 4, 3, 1, 2, 1,
                                                           2, 1, 3, 1, 1, 1};
    cluster_step_kind m_kind = cluster_step_kind::wait;
    /// Random numbers that choose the host and the parameters of the step.
    std::uint32_t m_first_argument = 0;
    std::uint32_t m_second_argument = 0;
};

/// Applies a step and advances the virtual time, by 1.5 s at most or by 8 s at
/// most if the step only waits.
void apply(simulated_cluster& cluster, cluster_step const& step);

/// Ends all faults, advances the virtual time by the bound within which a
/// configuration must be in force on all hosts (design section 1), and checks
/// that all hosts agree.
void end_script(simulated_cluster& cluster);

} // namespace hawthornspur::core::models

#endif
