#include "core/evacuated_zones.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornspur::core
{

namespace
{

std::pair<std::uint64_t, std::uint64_t> order_of(store_position const& position)
{
    return {position.m_epoch, position.m_revision.value_or(0)};
}

} // namespace

bool is_newer(evacuated_zones const& offered, evacuated_zones const& known)
{
    if (!offered.m_position.m_revision || !known.m_position.m_revision)
    {
        return offered.m_position.m_revision.has_value();
    }
    return order_of(offered.m_position) > order_of(known.m_position);
}

bool apply_change(evacuated_zones& known, evacuation_change const& change,
                  std::uint64_t epoch)
{
    store_position const position{epoch, change.m_revision};
    // Changes of one transaction have the same revision.
    if (known.m_position.m_revision &&
        order_of(position) < order_of(known.m_position))
    {
        return false;
    }
    known.m_position = position;
    return change.m_is_evacuated ? known.m_zones.insert(change.m_zone).second
                                 : known.m_zones.erase(change.m_zone) > 0;
}

evacuation_decision decide_evacuation(configuration const& document,
                                      std::set<std::string> const& named)
{
    evacuation_decision decision;
    for (auto const& zone : document.m_zones)
    {
        if (zone.m_is_evacuated || named.contains(zone.m_name))
        {
            decision.m_zones.insert(zone.m_name);
        }
    }
    for (auto const& zone : named)
    {
        if (find_zone(document, zone) == nullptr)
        {
            decision.m_unknown.push_back(zone);
        }
    }
    if (!decision.m_zones.empty() &&
        decision.m_zones.size() == document.m_zones.size())
    {
        decision.m_names_all = true;
        decision.m_zones.clear();
    }
    return decision;
}

evacuation_update apply_decision(evacuation_state& state,
                                 evacuation_decision decision, time_point now)
{
    evacuation_update update;
    auto const& former = state.m_decision.m_zones;
    auto const& zones = decision.m_zones;
    std::set_difference(zones.begin(), zones.end(), former.begin(),
                        former.end(), std::back_inserter(update.m_begun));
    std::set_difference(former.begin(), former.end(), zones.begin(),
                        zones.end(), std::back_inserter(update.m_ended));
    for (auto const& zone : update.m_begun)
    {
        state.m_taken_back.erase(zone);
    }
    for (auto const& zone : update.m_ended)
    {
        state.m_taken_back[zone] = now;
    }
    state.m_decision = std::move(decision);
    return update;
}

std::optional<time_point> cold_end_after_return(evacuation_state const& state,
                                                std::string const& zone,
                                                duration warm_up)
{
    auto const found = state.m_taken_back.find(zone);
    if (found == state.m_taken_back.end() || warm_up <= duration::zero())
    {
        return std::nullopt;
    }
    return found->second + warm_up;
}

void mark_evacuated_targets(configuration& document,
                            std::set<std::string> const& zones)
{
    if (zones.empty())
    {
        return;
    }
    for (auto& service : document.m_services)
    {
        for (auto& target : service.m_targets)
        {
            if (zones.contains(target.m_zone))
            {
                target.m_is_evacuated = true;
                target.m_state = target_state::draining;
            }
        }
    }
}

bool is_evacuated(service_config const& service,
                  std::string const& zone) noexcept
{
    return std::any_of(service.m_targets.begin(), service.m_targets.end(),
                       [&](target_config const& target) {
                           return target.m_zone == zone &&
                                  target.m_is_evacuated;
                       });
}

} // namespace hawthornspur::core
