#include "deployment.hpp"

#include <cmath>

namespace hawthornspur::bench
{

deployment tiza_viva()
{
    return {.m_name = "tiza",
            .m_zones = 3,
            .m_hosts = 14,
            .m_slots = 3,
            .m_connections = 200,
            .m_zone_delay_ms = 5,
            .m_probe_cost_ms = 6,
            .m_connection_cost_ms = 1,
            .m_services = {{"map", 15, 8, false},
                           {"bookings", 7, 15, true},
                           {"payments", 6, 25, true},
                           {"scoring", 6, 15, true}}};
}

deployment setacci_trinacria()
{
    return {.m_name = "setacci",
            .m_zones = 4,
            .m_hosts = 19,
            .m_slots = 6,
            .m_connections = 250,
            .m_zone_delay_ms = 3.5,
            .m_probe_cost_ms = 0,
            .m_connection_cost_ms = 1,
            .m_services = {{"catalogue", 20, 8, false},
                           {"ordering", 10, 20, true},
                           {"warranty", 8, 25, true},
                           {"calibration", 8, 15, true}}};
}

std::vector<target_place> place_targets(deployment const& plan)
{
    std::vector<target_place> places;
    int service = 0;
    for (auto const& entry : plan.m_services)
    {
        for (int i = 0; i < entry.m_targets; ++i)
        {
            places.push_back({service, i % plan.m_zones});
        }
        ++service;
    }
    return places;
}

int host_zone(deployment const& plan, int host)
{
    return host % plan.m_zones;
}

int pool_slot_count(deployment const& plan,
                    std::vector<target_place> const& places, int service,
                    int zone)
{
    int slots = 0;
    for (auto const& place : places)
    {
        if (place.m_service == service && place.m_zone == zone)
        {
            slots += plan.m_slots;
        }
    }
    return slots;
}

double mean_service_seconds(service_plan const& service)
{
    return service.m_median_ms / 1000 *
           std::exp(service_sigma * service_sigma / 2);
}

} // namespace hawthornspur::bench
