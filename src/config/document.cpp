#include "config/document.hpp"

#include "config/json_text.hpp"
#include "config/sections.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace hawthornspur::config
{

parse_result<core::configuration> parse_document(std::string_view text)
{
    fault_list faults;
    auto const parsed = parse_json(text, faults);
    if (!faults.empty())
    {
        return faults;
    }
    core::configuration document;
    auto reader = open_object(parsed, "", faults);
    if (reader)
    {
        read_version(*reader, presence::optional, document.m_generation,
                     document.m_change_id);
        read_common_section(*reader, document);
        read_objects(*reader, "services", presence::required, 0, max_services,
                     read_service, document.m_services);
        report_unknown_fields(*reader);
        check_references(document, faults);
    }
    if (!faults.empty())
    {
        return faults;
    }
    return document;
}

std::string print_document(core::configuration const& document, key_form keys)
{
    constexpr int indentation = 2;
    nlohmann::ordered_json out;
    out["generation"] = document.m_generation;
    out["change_id"] = document.m_change_id;
    out.update(print_common_section(document, keys));
    auto services = nlohmann::ordered_json::array();
    for (auto const& service : document.m_services)
    {
        services.push_back(print_service(service));
    }
    out["services"] = std::move(services);
    return out.dump(indentation) + "\n";
}

std::string describe(fault_list const& faults)
{
    std::string text;
    for (auto const& fault : faults)
    {
        text += fault.m_path.empty() ? "" : fault.m_path + ": ";
        text += fault.m_message + " (" +
                std::to_string(static_cast<unsigned>(fault.m_code)) + " " +
                std::string(info(fault.m_code).m_name) + ")\n";
    }
    return text;
}

} // namespace hawthornspur::config
