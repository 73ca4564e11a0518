#include "serve/registration_entry.hpp"

#include "serve/host.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::serve
{

std::string format_registration_entry(entry_host const& host)
{
    return nlohmann::json{
        {"name", host.m_settings.m_name},
        {"zone", host.m_settings.m_zone},
        {"address", host.m_settings.m_peers.m_address},
        {"callers_port", host.m_caller_server->port()},
        {"peers_port", host.m_peer_network->port()},
        {"millicores", core::self(*host.m_membership).m_millicores}}
        .dump();
}

std::optional<platform::listed_host>
parse_registration_entry(std::string_view text)
{
    try
    {
        auto const fields = nlohmann::json::parse(text);
        platform::listed_host listed;
        listed.m_role = platform::listed_role::entry;
        listed.m_name = fields.at("name").get<std::string>();
        listed.m_zone = fields.at("zone").get<std::string>();
        listed.m_address = fields.at("address").get<std::string>();
        listed.m_port = fields.at("callers_port").get<std::uint16_t>();
        listed.m_peer_port = fields.at("peers_port").get<std::uint16_t>();
        listed.m_millicores = fields.value("millicores", listed.m_millicores);
        return listed;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace hawthornspur::serve
