#include "core/target_departures.hpp"

namespace hawthornspur::core
{

namespace
{

// Targets exit within seconds or minutes of their word.
constexpr duration departure_memory = std::chrono::minutes(10);

} // namespace

bool record_departure(target_departures& departures,
                      target_process const& process, time_point now)
{
    auto& known = departures.m_departures;
    std::erase_if(known, [&](auto const& item)
                  { return item.second.m_heard_at + departure_memory < now; });
    auto const [entry, is_new] = known.try_emplace(
        {process.m_service, process.m_target},
        target_departures::departure{process.m_incarnation, now});
    auto& departure = entry->second;
    if (departure.m_incarnation > process.m_incarnation)
    {
        // A late word of an earlier process.
        return false;
    }
    bool const is_later = process.m_incarnation > departure.m_incarnation;
    departure = {process.m_incarnation, now};
    return is_new || is_later;
}

bool is_departing(target_departures const& departures,
                  target_process const& process)
{
    auto const found =
        departures.m_departures.find({process.m_service, process.m_target});
    return found != departures.m_departures.end() &&
           process.m_incarnation <= found->second.m_incarnation;
}

} // namespace hawthornspur::core
