#include "config/json_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace hawthornspur::config
{

namespace
{

using nlohmann::json;

std::string describe_position(std::string_view text, std::size_t byte)
{
    auto const before = text.substr(0, std::min(byte, text.size()));
    auto const line = std::count(before.begin(), before.end(), '\n') + 1;
    auto const newline = before.rfind('\n');
    auto const column = newline == std::string_view::npos
                            ? before.size()
                            : before.size() - newline - 1;
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column);
}

/// Parser callback that reports duplicate fields. nlohmann_json silently keeps
/// the last of several fields with the same name, which would hide a part of an
/// operator's change.
class duplicate_field_check
{
public:
    explicit duplicate_field_check(fault_list& out)
        : m_faults(&out)
    {
    }

    bool operator()(int /*depth*/, json::parse_event_t event, json& parsed)
    {
        switch (event)
        {
        case json::parse_event_t::object_start:
            m_field_names.emplace_back();
            break;
        case json::parse_event_t::object_end:
            m_field_names.pop_back();
            break;
        case json::parse_event_t::key:
        {
            auto const name = parsed.get<std::string>();
            if (!m_field_names.back().insert(name).second)
            {
                m_faults->push_back({result_code::duplicate_name, name,
                                     "the field occurs twice in one object; "
                                     "allowed: once"});
            }
            break;
        }
        default:
            break;
        }
        return true;
    }

private:
    fault_list* m_faults;
    // One set for each object that is being parsed, the innermost last.
    std::vector<std::set<std::string>> m_field_names;
};

} // namespace

json parse_json(std::string_view text, fault_list& out)
{
    if (text.size() > max_text_bytes)
    {
        out.push_back({result_code::document_too_large, "",
                       std::to_string(text.size()) + " bytes; at most " +
                           std::to_string(max_text_bytes) + " are allowed"});
        return {};
    }
    try
    {
        duplicate_field_check check(out);
        return json::parse(
            text.begin(), text.end(),
            [&check](int depth, json::parse_event_t event, json& parsed)
            { return check(depth, event, parsed); },
            true, true);
    }
    catch (json::parse_error const& fault)
    {
        out.push_back(
            {result_code::document_syntax, "",
             "not valid JSON at " + describe_position(text, fault.byte)});
    }
    catch (json::exception const&)
    {
        out.push_back({result_code::document_syntax, "",
                       "a number is too large to be represented"});
    }
    return {};
}

std::string describe_value(json const& value)
{
    constexpr std::size_t max_length = 60;
    // Objects and lists are not printed: printing is recursive and their depth
    // is unbounded.
    if (value.is_object())
    {
        return "an object";
    }
    if (value.is_array())
    {
        return "a list of " + std::to_string(value.size());
    }
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_length)
    {
        text.resize(max_length);
        text += "...";
    }
    return text;
}

} // namespace hawthornspur::config
