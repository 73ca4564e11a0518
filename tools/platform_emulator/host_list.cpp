#include "platform_emulator/host_list.hpp"

#include "common/json_fields.hpp"

#include <algorithm>

namespace hawthornspur::tools
{

namespace
{

constexpr std::size_t max_versions = 1000;

status check_host(nlohmann::json const& host)
{
    for (auto const* name : {"name", "role", "zone", "address", "state"})
    {
        if (!host.is_object() || !host.contains(name) ||
            !host[name].is_string())
        {
            return make_error(result_code::wrong_type,
                              std::string("a host needs the text field ") +
                                  name);
        }
    }
    if (!host.contains("port") || !host["port"].is_number_unsigned())
    {
        return make_error(result_code::wrong_type,
                          "a host needs the numeric field port");
    }
    if (host["role"] != "entry" && host["role"] != "target")
    {
        return make_error(result_code::value_out_of_range,
                          "role must be entry or target");
    }
    if (host["state"] != "live" && host["state"] != "leaving")
    {
        return make_error(result_code::value_out_of_range,
                          "state must be live or leaving");
    }
    return success();
}

} // namespace

status set_hosts(host_list& list, std::string const& text, core::time_point now)
{
    auto const parsed = parse_object(text);
    if (!has_value(parsed))
    {
        return failure(parsed);
    }
    auto const& document = value(parsed);
    if (!document.contains("hosts") || !document["hosts"].is_array())
    {
        return make_error(result_code::wrong_type, "hosts is not an array");
    }
    for (auto const& host : document["hosts"])
    {
        auto const checked = check_host(host);
        if (!has_value(checked))
        {
            return failure(checked);
        }
    }
    list.m_versions.emplace_back(now, document["hosts"]);
    if (list.m_versions.size() > max_versions)
    {
        list.m_versions.pop_front();
    }
    return success();
}

nlohmann::json hosts_at(host_list const& list, core::time_point now,
                        core::duration lag)
{
    auto const found =
        std::find_if(list.m_versions.rbegin(), list.m_versions.rend(),
                     [&](auto const& v) { return v.first <= now - lag; });
    auto hosts = found == list.m_versions.rend() ? nlohmann::json::array()
                                                 : found->second;
    return {{"hosts", std::move(hosts)}};
}

} // namespace hawthornspur::tools
