#ifndef HAWTHORNSPUR_CORE_MODELS_CLUSTER_SCRIPT_HPP
#define HAWTHORNSPUR_CORE_MODELS_CLUSTER_SCRIPT_HPP

#include "core/models/cluster.hpp"

#include <array>

namespace hawthornspur::core::models
{

/// A fault or an operator's act in a cluster. Virtual time passes after each.
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
    static constexpr std::array<std::uint32_t, 13> weights{2, 2, 4, 3, 1, 2, 1,
                                                           2, 1, 3, 1, 1, 1};
    cluster_step_kind m_kind = cluster_step_kind::wait;
    std::uint32_t m_first_argument = 0;
    std::uint32_t m_second_argument = 0;
};

void apply(simulated_cluster& c, cluster_step const& step);

/// Ends all faults, waits for the time in which design section 1 wants a
/// configuration in force everywhere, and checks that all hosts agree.
void end_script(simulated_cluster& c);

} // namespace hawthornspur::core::models

#endif
