#include "config/quantity.hpp"
#include "config/sections.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::config
{

namespace
{

void read_zone(object_reader& reader, core::zone_config& out)
{
    using std::chrono::nanoseconds;
    using std::chrono::seconds;
    read_text(reader, "name", presence::required, name_rule, out.m_name);
    read_text(reader, "region", presence::optional, name_or_empty_rule,
              out.m_region);
    read_object(reader, "one_way_delay", presence::optional,
                [&](object_reader& inner)
                {
                    for (auto const& [zone, value] : inner.m_object->items())
                    {
                        core::duration delay{0};
                        read_duration(inner, zone, presence::required,
                                      nanoseconds(0), seconds(10), delay);
                        out.m_one_way_delay[zone] = delay;
                    }
                });
    read_duration(reader, "extra_cost", presence::optional, nanoseconds(0),
                  seconds(10), out.m_extra_cost);
    read_boolean(reader, "evacuated", presence::optional, out.m_is_evacuated);
}

void read_route_part(object_reader& reader, core::route_part& out)
{
    constexpr double min_weight = 1e-6;
    constexpr double max_weight = 1e6;
    read_text(reader, "service", presence::required, name_rule, out.m_service);
    read_number(reader, "weight", presence::optional, min_weight, max_weight,
                out.m_weight);
}

void read_route(object_reader& reader, core::route_config& out)
{
    constexpr std::size_t max_parts = 100;
    read_text(reader, "name", presence::required, name_rule, out.m_name);
    read_text(reader, "host", presence::optional, any_text_rule, out.m_host);
    read_text(reader, "path_prefix", presence::required, path_rule,
              out.m_path_prefix);
    read_objects(reader, "parts", presence::required, 1, max_parts,
                 read_route_part, out.m_parts);
}

nlohmann::ordered_json print_route(core::route_config const& route)
{
    nlohmann::ordered_json out;
    out["name"] = route.m_name;
    out["host"] = route.m_host;
    out["path_prefix"] = route.m_path_prefix;
    auto parts = nlohmann::ordered_json::array();
    for (auto const& part : route.m_parts)
    {
        parts.push_back(
            {{"service", part.m_service}, {"weight", part.m_weight}});
    }
    out["parts"] = std::move(parts);
    return out;
}

nlohmann::ordered_json print_zone(core::zone_config const& zone)
{
    nlohmann::ordered_json out;
    out["name"] = zone.m_name;
    out["region"] = zone.m_region;
    auto delays = nlohmann::ordered_json::object();
    for (auto const& [name, delay] : zone.m_one_way_delay)
    {
        delays[name] = print_duration(delay);
    }
    out["one_way_delay"] = std::move(delays);
    out["extra_cost"] = print_duration(zone.m_extra_cost);
    if (zone.m_is_evacuated)
    {
        out["evacuated"] = true;
    }
    return out;
}

} // namespace

void read_common_section(object_reader& reader, core::configuration& out)
{
    using std::chrono::hours;
    using std::chrono::seconds;
    constexpr std::uint64_t max_hosts = 10'000;
    constexpr std::uint64_t max_depth = 1000;
    read_objects(reader, "zones", presence::required, 1, max_zones, read_zone,
                 out.m_zones);
    read_integer(reader, "max_entry_hosts", presence::optional, 1, max_hosts,
                 out.m_max_entry_hosts);
    read_duration(reader, "address_lifetime", presence::optional, seconds(1),
                  hours(1), out.m_address_lifetime);
    read_duration(reader, "key_lifetime", presence::optional, seconds(1),
                  hours(1), out.m_key_lifetime);
    read_integer(reader, "max_depth", presence::optional, 1, max_depth,
                 out.m_max_depth);
    read_duration(reader, "caller_idle_timeout", presence::optional, seconds(1),
                  core::configuration{}.m_caller_idle_timeout,
                  out.m_caller_idle_timeout);
    read_integer(reader, "max_owners_per_zone", presence::optional, 0,
                 max_hosts, out.m_max_owners_per_zone);
    read_objects(reader, "routes", presence::optional, 0, max_routes,
                 read_route, out.m_routes);
    read_customers(reader, out);
}

nlohmann::ordered_json print_common_section(core::configuration const& document,
                                            key_form keys)
{
    nlohmann::ordered_json out;
    auto zones = nlohmann::ordered_json::array();
    for (auto const& zone : document.m_zones)
    {
        zones.push_back(print_zone(zone));
    }
    out["zones"] = std::move(zones);
    out["max_entry_hosts"] = document.m_max_entry_hosts;
    out["address_lifetime"] = print_duration(document.m_address_lifetime);
    out["key_lifetime"] = print_duration(document.m_key_lifetime);
    out["max_depth"] = document.m_max_depth;
    if (document.m_caller_idle_timeout !=
        core::configuration{}.m_caller_idle_timeout)
    {
        out["caller_idle_timeout"] =
            print_duration(document.m_caller_idle_timeout);
    }
    if (document.m_max_owners_per_zone != 0)
    {
        out["max_owners_per_zone"] = document.m_max_owners_per_zone;
    }
    if (!document.m_routes.empty())
    {
        auto routes = nlohmann::ordered_json::array();
        for (auto const& route : document.m_routes)
        {
            routes.push_back(print_route(route));
        }
        out["routes"] = std::move(routes);
    }
    if (document.m_customers != nullptr)
    {
        out["customers"] = print_customers(*document.m_customers, keys);
    }
    return out;
}

void read_version(object_reader& reader, presence expected,
                  std::uint64_t& generation, std::string& change_id)
{
    // JSON parsers that use double-precision numbers lose precision above this.
    constexpr auto max_generation = (std::uint64_t{1} << 53U) - 1;
    read_integer(reader, "generation", expected, 0, max_generation, generation);
    read_text(reader, "change_id", expected, name_or_empty_rule, change_id);
}

} // namespace hawthornspur::config
