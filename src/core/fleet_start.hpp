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
    /// When the first other host was known that is not dead.
    std::optional<time_point> m_first_contact;
    /// A host that served already is known, so this process started alone or
    /// with a part of the fleet.
    bool m_has_seen_serving_host = false;
};

/// Takes note of the hosts that are known now. Hosts of other zones may answer
/// after those of the own zone, which may have started with this process.
void observe_start(fleet_start& start, std::span<host_record const> others,
                   time_point now);

/// The start of this process if the fleet started together with it and not more
/// than 5 s ago, after which the start makes no difference. Known 60 ms after
/// the first contact.
std::optional<time_point> joint_start(fleet_start const& start, time_point now);

} // namespace hawthornspur::core

#endif
