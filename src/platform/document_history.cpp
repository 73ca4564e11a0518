#include "platform/document_history.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

using nlohmann::ordered_json;

config::fault_list make_history_fault(std::string const& path)
{
    return {
        {result_code::document_syntax, path, "the history cannot be parsed"}};
}

/// True for an object of primitive values and arrays of them. Only such objects
/// are printed: printing is recursive, and deep nesting could overflow the
/// stack.
bool is_flat_object(ordered_json const& value)
{
    auto const is_simple = [](ordered_json const& entry)
    {
        return entry.is_primitive();
    };
    return value.is_object() &&
           std::all_of(
               value.begin(), value.end(),
               [&](ordered_json const& field)
               {
                   return is_simple(field) ||
                          (field.is_array() &&
                           std::all_of(field.begin(), field.end(), is_simple));
               });
}

} // namespace

config::parse_result<document_history> parse_history(std::string_view text)
{
    auto const parsed = ordered_json::parse(text, nullptr, false);
    auto const heads = parsed.find("heads");
    auto const retired = parsed.find("retired");
    if (heads == parsed.end() || !heads->is_array() ||
        retired == parsed.end() || !retired->is_array())
    {
        return make_history_fault("");
    }
    document_history history;
    for (auto const& entry : *heads)
    {
        if (!is_flat_object(entry))
        {
            return make_history_fault("heads");
        }
        auto head = config::parse_head(entry.dump());
        if (!std::holds_alternative<config::document_head>(head))
        {
            return make_history_fault("heads");
        }
        history.m_heads.push_back(
            std::get<config::document_head>(std::move(head)));
    }
    for (auto const& entry : *retired)
    {
        if (!entry.is_string())
        {
            return make_history_fault("retired");
        }
        history.m_retired_parts.push_back(entry.get<std::string>());
    }
    return history;
}

std::string print_history(document_history const& history)
{
    ordered_json out;
    out["heads"] = ordered_json::array();
    for (auto const& head : history.m_heads)
    {
        out["heads"].push_back(ordered_json::parse(config::print_head(head)));
    }
    out["retired"] = history.m_retired_parts;
    return out.dump();
}

void add_head(document_history& history, config::document_head const& head,
              std::size_t max_heads)
{
    auto& heads = history.m_heads;
    if (find_head(history, head.m_generation) == nullptr)
    {
        heads.push_back(head);
        std::sort(heads.begin(), heads.end(),
                  [](auto const& a, auto const& b)
                  { return a.m_generation > b.m_generation; });
    }
    std::set<std::string> retired(history.m_retired_parts.begin(),
                                  history.m_retired_parts.end());
    while (heads.size() > max_heads)
    {
        retired.insert(heads.back().m_parts.begin(),
                       heads.back().m_parts.end());
        heads.pop_back();
    }
    for (auto const& part : referenced_parts(history))
    {
        retired.erase(part);
    }
    history.m_retired_parts.assign(retired.begin(), retired.end());
}

std::set<std::string> referenced_parts(document_history const& history)
{
    std::set<std::string> parts;
    for (auto const& head : history.m_heads)
    {
        parts.insert(head.m_parts.begin(), head.m_parts.end());
    }
    return parts;
}

config::document_head const* find_head(document_history const& history,
                                       std::uint64_t generation) noexcept
{
    auto const found = std::find_if(
        history.m_heads.begin(), history.m_heads.end(),
        [&](auto const& head) { return head.m_generation == generation; });
    return found == history.m_heads.end() ? nullptr : &*found;
}

} // namespace hawthornspur::platform
