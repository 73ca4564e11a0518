#ifndef HAWTHORNSPUR_CORE_FLEET_START_HPP
#define HAWTHORNSPUR_CORE_FLEET_START_HPP

#include "core/membership.hpp"
#include "core/time.hpp"

#include <optional>
#include <span>

namespace hawthornspur::core
{

/// Whether the whole fleet started together with this process, after all hosts
/// had lost power or been killed. No other process then holds state that this
/// one would have to wait for.
struct fleet_start
{
    time_point m_process_start{};
    /// Nothing before the first other host is known.
    std::optional<bool> m_is_joint;
};

/// Decides when the first other hosts are known: a host that serves already
/// started earlier.
void observe_start(fleet_start& start, std::span<host_record const> others);

/// The start of this process if the fleet started together with it and not more
/// than 5 s ago, after which the start makes no difference.
std::optional<time_point> joint_start(fleet_start const& start, time_point now);

} // namespace hawthornspur::core

#endif
