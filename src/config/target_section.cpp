#include "config/sections.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::config
{

void read_target(object_reader& reader, core::target_config& out)
{
    constexpr std::uint64_t max_port = 65'535;
    constexpr std::uint64_t max_slots = 10'000;
    constexpr std::uint64_t max_connections = 100'000;
    read_text(reader, "name", presence::required, name_rule, out.m_name);
    read_text(reader, "zone", presence::required, name_rule, out.m_zone);
    read_text(reader, "address", presence::required, ip_address_rule,
              out.m_address);
    read_integer(reader, "port", presence::required, 1, max_port, out.m_port);
    read_integer(reader, "slots", presence::required, 1, max_slots,
                 out.m_slots);
    read_integer(reader, "max_connections", presence::optional, 1,
                 max_connections, out.m_max_connections);
    read_choice<core::target_state>(
        reader, "state", presence::optional,
        {{"active", core::target_state::active},
         {"draining", core::target_state::draining}},
        out.m_state);
    if (out.m_max_connections < out.m_slots)
    {
        report(reader, "max_connections", result_code::value_out_of_range,
               "found " + std::to_string(out.m_max_connections) +
                   "; allowed: at least the number of slots, " +
                   std::to_string(out.m_slots));
    }
}

nlohmann::ordered_json print_target(core::target_config const& target)
{
    nlohmann::ordered_json out;
    out["name"] = target.m_name;
    out["zone"] = target.m_zone;
    out["address"] = target.m_address;
    out["port"] = target.m_port;
    out["slots"] = target.m_slots;
    out["max_connections"] = target.m_max_connections;
    out["state"] =
        target.m_state == core::target_state::active ? "active" : "draining";
    return out;
}

} // namespace hawthornspur::config
