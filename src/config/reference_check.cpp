#include "config/quantity.hpp"
#include "config/sections.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace hawthornspur::config
{

namespace
{

std::string entry_path(std::string const& list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

std::string join_names(std::set<std::string> const& names)
{
    std::string text;
    for (auto const& name : names)
    {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

/// Reports each name that an earlier entry of the list has, and returns all
/// names. An empty name has been reported by the reader.
template <class T>
std::set<std::string> check_names(std::vector<T> const& list,
                                  std::string const& path, fault_list& out)
{
    std::map<std::string, std::size_t> first_uses;
    std::set<std::string> names;
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        auto const& name = list[i].m_name;
        if (name.empty())
        {
            continue;
        }
        names.insert(name);
        auto const [first_use, is_new] = first_uses.emplace(name, i);
        if (!is_new)
        {
            out.push_back({result_code::duplicate_name,
                           entry_path(path, i) + ".name",
                           "found \"" + name + "\", the name of " +
                               entry_path(path, first_use->second) +
                               "; allowed: a name that is used once"});
        }
    }
    return names;
}

void check_zones(core::configuration const& document,
                 std::set<std::string> const& zones, fault_list& out)
{
    for (std::size_t i = 0; i < document.m_zones.size(); ++i)
    {
        auto const& zone = document.m_zones[i];
        auto const path = entry_path("zones", i) + ".one_way_delay.";
        for (auto const& [other, delay] : zone.m_one_way_delay)
        {
            if (other == zone.m_name || !zones.contains(other))
            {
                out.push_back({result_code::unknown_reference, path + other,
                               "found \"" + other +
                                   "\"; allowed: the other zones of " +
                                   join_names(zones)});
            }
        }
        // A zone without a delay would become the last choice for spilling and
        // for taking over pools.
        for (auto const& other : zones)
        {
            if (other != zone.m_name && !zone.m_name.empty() &&
                !zone.m_one_way_delay.contains(other))
            {
                out.push_back({result_code::missing_field, path + other,
                               "not found; the delays to all other zones are "
                               "required"});
            }
        }
    }
}

/// Refuses an evacuation that would leave no zone to send requests to.
void check_evacuations(core::configuration const& document, fault_list& out)
{
    auto const& zones = document.m_zones;
    if (!zones.empty() && std::all_of(zones.begin(), zones.end(),
                                      [](core::zone_config const& zone)
                                      { return zone.m_is_evacuated; }))
    {
        out.push_back({result_code::value_out_of_range, "zones",
                       "found all zones evacuated; allowed: at least one zone "
                       "with evacuated false"});
    }
}

/// Reports repeated names and keys. Messages contain the positions of a key
/// only.
void check_customers(core::customer_table const& table, fault_list& out)
{
    auto const& customers = core::customers(table);
    check_names(customers, "customers", out);
    auto const key_path = [](std::size_t customer, std::size_t key)
    {
        return entry_path(entry_path("customers", customer) + ".access_keys",
                          key);
    };
    for (auto const& repeated : core::find_repeated_keys(customers))
    {
        out.push_back(
            {result_code::duplicate_name,
             key_path(repeated.m_customer, repeated.m_key),
             "found the key of " +
                 key_path(repeated.m_first_customer, repeated.m_first_key) +
                 "; allowed: a key that occurs once in the document"});
    }
}

void check_kinds(core::configuration const& document,
                 core::service_config const& service, std::string const& path,
                 fault_list& out)
{
    auto const& kinds = service.m_kinds;
    for (std::size_t i = 0; i < kinds.size(); ++i)
    {
        auto const& kind = kinds[i];
        auto const kind_path = entry_path(path + ".kinds", i);
        // A home removes keys after their lifetime. A request that still ran
        // at that time could run again with the same key.
        if (kind.m_execution == core::execution_rule::at_most_once &&
            kind.m_deadline > document.m_key_lifetime)
        {
            out.push_back({result_code::value_out_of_range,
                           kind_path + ".deadline",
                           "found \"" + print_duration(kind.m_deadline) +
                               "\"; allowed: at most key_lifetime, " +
                               print_duration(document.m_key_lifetime) +
                               ", for an at_most_once kind"});
        }
        if (kind.m_path_prefix.empty() || kind.m_method.empty())
        {
            continue;
        }
        for (std::size_t j = 0; j < i; ++j)
        {
            auto const& earlier = kinds[j];
            if (!earlier.m_path_prefix.empty() &&
                earlier.m_method == kind.m_method &&
                kind.m_path_prefix.starts_with(earlier.m_path_prefix))
            {
                out.push_back(
                    {result_code::value_out_of_range,
                     kind_path + ".path_prefix",
                     "found \"" + kind.m_path_prefix +
                         "\", whose requests always match " +
                         entry_path(path + ".kinds", j) +
                         " first; allowed: longer prefixes before shorter "
                         "ones"});
                break;
            }
        }
    }
}

void check_targets(core::service_config const& service,
                   std::set<std::string> const& zones, std::string const& path,
                   fault_list& out)
{
    std::map<std::pair<std::string, std::uint16_t>, std::size_t> first_uses;
    for (std::size_t i = 0; i < service.m_targets.size(); ++i)
    {
        auto const& target = service.m_targets[i];
        auto const target_path = entry_path(path + ".targets", i);
        // If there are no zones, their list has been reported.
        if (!target.m_zone.empty() && !zones.empty() &&
            !zones.contains(target.m_zone))
        {
            out.push_back({result_code::unknown_reference,
                           target_path + ".zone",
                           "found \"" + target.m_zone +
                               "\"; allowed: " + join_names(zones)});
        }
        if (target.m_port == 0 || target.m_address.empty())
        {
            continue;
        }
        auto const [first_use, is_new] =
            first_uses.emplace(std::pair(target.m_address, target.m_port), i);
        // The slots of a target that is listed twice would be counted twice.
        if (!is_new)
        {
            out.push_back(
                {result_code::duplicate_name, target_path + ".port",
                 "found " + std::to_string(target.m_port) + " at " +
                     target.m_address + ", the address and port of " +
                     entry_path(path + ".targets", first_use->second) +
                     "; allowed: an address and port that are used once in the "
                     "service"});
        }
    }
}

bool has_kind(core::service_config const& service, std::string const& name)
{
    return std::any_of(service.m_kinds.begin(), service.m_kinds.end(),
                       [&](core::kind_config const& kind)
                       { return kind.m_name == name; });
}

/// Checks that each part of a route names a service with a kind of the route's
/// name.
void check_routes(core::configuration const& document, fault_list& out)
{
    check_names(document.m_routes, "routes", out);
    for (std::size_t i = 0; i < document.m_routes.size(); ++i)
    {
        auto const& route = document.m_routes[i];
        for (std::size_t part = 0; part < route.m_parts.size(); ++part)
        {
            auto const& name = route.m_parts[part].m_service;
            auto const* service = core::find_service(document, name);
            if (service == nullptr || !has_kind(*service, route.m_name))
            {
                out.push_back(
                    {result_code::unknown_reference,
                     entry_path(entry_path("routes", i) + ".parts", part) +
                         ".service",
                     "found \"" + name +
                         "\"; allowed: a service with the kind " +
                         route.m_name});
            }
        }
    }
}

} // namespace

void check_references(core::configuration const& document, fault_list& out)
{
    auto const zones = check_names(document.m_zones, "zones", out);
    check_zones(document, zones, out);
    check_evacuations(document, out);
    check_names(document.m_services, "services", out);
    for (std::size_t i = 0; i < document.m_services.size(); ++i)
    {
        auto const& service = document.m_services[i];
        auto const path = entry_path("services", i);
        check_names(service.m_kinds, path + ".kinds", out);
        check_names(service.m_targets, path + ".targets", out);
        check_kinds(document, service, path, out);
        check_targets(service, zones, path, out);
    }
    check_routes(document, out);
    if (document.m_customers != nullptr)
    {
        check_customers(*document.m_customers, out);
    }
}

} // namespace hawthornspur::config
