#include "serve/registration_entry.hpp"

#include "serve/host.hpp"

#include <nlohmann/json.hpp>

#include <limits>

namespace hawthornspur::serve
{

namespace
{

/// Throws json::exception if the value is not a whole number of the type.
/// parse_registration_entry() catches it.
template <class T>
T read_whole_number(nlohmann::json const& number)
{
    auto const& value = number.get_ref<std::uint64_t const&>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
    {
        throw nlohmann::json::out_of_range::create(401, "number out of range",
                                                   &number);
    }
    return static_cast<T>(value);
}

} // namespace

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
        listed.m_port =
            read_whole_number<std::uint16_t>(fields.at("callers_port"));
        listed.m_peer_port =
            read_whole_number<std::uint16_t>(fields.at("peers_port"));
        if (auto const millicores = fields.find("millicores");
            millicores != fields.end())
        {
            listed.m_millicores = read_whole_number<int>(*millicores);
        }
        return listed;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace hawthornspur::serve
