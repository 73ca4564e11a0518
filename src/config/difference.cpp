#include "config/difference.hpp"

#include "config/document.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace hawthornspur::config
{

namespace
{

using nlohmann::ordered_json;

std::string entry_name(ordered_json const& entry)
{
    return entry.at("name").get<std::string>();
}

/// Lists of canonical documents have either named objects or plain values.
bool is_named_list(ordered_json const& list)
{
    return list.is_array() && !list.empty() && list.front().is_object();
}

/// The entries of a list by name. A list may have 10,000 customers.
using entry_index = std::map<std::string, ordered_json const*>;

entry_index index_entries(ordered_json const& list)
{
    entry_index index;
    for (auto const& entry : list)
    {
        index.emplace(entry_name(entry), &entry);
    }
    return index;
}

std::vector<std::string> common_names(ordered_json const& list,
                                      entry_index const& other)
{
    std::vector<std::string> names;
    for (auto const& entry : list)
    {
        if (other.contains(entry_name(entry)))
        {
            names.push_back(entry_name(entry));
        }
    }
    return names;
}

// Recursive; the depth of a canonical document is bounded.
void compare(ordered_json const& before, ordered_json const& after,
             std::string const& path, std::vector<field_change>& out);

void compare_fields(ordered_json const& before, ordered_json const& after,
                    std::string const& path, std::vector<field_change>& out)
{
    auto const prefix = path.empty() ? std::string() : path + ".";
    for (auto const& [name, value] : before.items())
    {
        auto const other = after.find(name);
        if (other == after.end())
        {
            out.push_back(
                {change_kind::removed, prefix + name, value.dump(), ""});
            continue;
        }
        compare(value, *other, prefix + name, out);
    }
    for (auto const& [name, value] : after.items())
    {
        if (!before.contains(name))
        {
            out.push_back(
                {change_kind::added, prefix + name, "", value.dump()});
        }
    }
}

void compare_entries(ordered_json const& before, ordered_json const& after,
                     std::string const& path, std::vector<field_change>& out)
{
    auto const old_entries = index_entries(before);
    auto const new_entries = index_entries(after);
    for (auto const& entry : before)
    {
        auto const entry_path = path + "[" + entry_name(entry) + "]";
        auto const other = new_entries.find(entry_name(entry));
        if (other == new_entries.end())
        {
            out.push_back({change_kind::removed, entry_path, entry.dump(), ""});
            continue;
        }
        compare(entry, *other->second, entry_path, out);
    }
    for (auto const& entry : after)
    {
        if (!old_entries.contains(entry_name(entry)))
        {
            out.push_back({change_kind::added,
                           path + "[" + entry_name(entry) + "]", "",
                           entry.dump()});
        }
    }
    auto const old_order = common_names(before, new_entries);
    auto const new_order = common_names(after, old_entries);
    if (old_order != new_order)
    {
        out.push_back({change_kind::changed, path + " (order)",
                       ordered_json(old_order).dump(),
                       ordered_json(new_order).dump()});
    }
}

void compare(ordered_json const& before, ordered_json const& after,
             std::string const& path, std::vector<field_change>& out)
{
    if (before == after)
    {
        return;
    }
    if (before.is_object() && after.is_object())
    {
        compare_fields(before, after, path, out);
    }
    else if (is_named_list(before) || is_named_list(after))
    {
        compare_entries(before, after, path, out);
    }
    else
    {
        out.push_back(
            {change_kind::changed, path, before.dump(), after.dump()});
    }
}

ordered_json to_canonical(core::configuration const& document)
{
    auto printed =
        ordered_json::parse(print_document(document, key_form::digest));
    printed.erase("generation");
    printed.erase("change_id");
    return printed;
}

} // namespace

std::vector<field_change> find_differences(core::configuration const& before,
                                           core::configuration const& after)
{
    std::vector<field_change> changes;
    compare(to_canonical(before), to_canonical(after), "", changes);
    return changes;
}

std::string describe(std::vector<field_change> const& changes)
{
    std::string text;
    for (auto const& change : changes)
    {
        switch (change.m_kind)
        {
        case change_kind::added:
            text += "+ " + change.m_path + ": " + change.m_new + "\n";
            break;
        case change_kind::removed:
            text += "- " + change.m_path + ": " + change.m_old + "\n";
            break;
        case change_kind::changed:
            text += "~ " + change.m_path + ": " + change.m_old + " -> " +
                    change.m_new + "\n";
            break;
        }
    }
    return text;
}

} // namespace hawthornspur::config
