#include "config/value_reader.hpp"

#include "config/json_text.hpp"
#include "config/quantity.hpp"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace hawthornspur::config
{

namespace
{

using nlohmann::json;

bool is_name(std::string_view text)
{
    constexpr std::size_t max_label_length = 63;
    return !text.empty() && text.size() <= max_label_length &&
           text.front() != '-' && text.back() != '-' &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
               std::string_view::npos;
}

bool is_name_or_empty(std::string_view text)
{
    return text.empty() || is_name(text);
}

bool is_ip_address(std::string_view text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    std::string const terminated(text);
    // inet_pton() ignores what follows an embedded zero byte.
    return terminated.find('\0') == std::string::npos &&
           (inet_pton(AF_INET, terminated.c_str(), bytes.data()) == 1 ||
            inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1);
}

bool is_path(std::string_view text)
{
    constexpr std::size_t max_length = 1024;
    return text.starts_with('/') && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       { return c > ' ' && c < '\x7f' && c != '#'; });
}

bool is_any_text(std::string_view text)
{
    constexpr std::size_t max_length = 1024;
    return text.size() <= max_length &&
           text.find('\0') == std::string_view::npos;
}

void report_value(object_reader const& reader, std::string_view name,
                  result_code code, json const& found,
                  std::string const& allowed)
{
    auto const value = reader.m_hides_values && found.is_primitive()
                           ? "a value that is not shown"
                           : describe_value(found);
    report(reader, name, code, "found " + value + "; allowed: " + allowed);
}

std::string describe_range(std::string const& lowest,
                           std::string const& highest)
{
    return lowest + " to " + highest;
}

/// Returns the text of a field, or null after a fault or if it is absent.
std::string const* find_text(object_reader& reader, std::string_view name,
                             presence expected, std::string const& allowed)
{
    auto const* field = find_field(reader, name, expected);
    if (field == nullptr)
    {
        return nullptr;
    }
    if (!field->is_string())
    {
        report_value(reader, name, result_code::wrong_type, *field, allowed);
        return nullptr;
    }
    return field->get_ptr<std::string const*>();
}

/// The shortest text that identifies the number.
std::string number_text(double value)
{
    return json(value).dump();
}

} // namespace

text_rule const name_rule{
    is_name, "1 to 63 lower-case letters, digits and hyphens, with no hyphen "
             "at either end"};
text_rule const name_or_empty_rule{
    is_name_or_empty, "an empty text, or 1 to 63 lower-case letters, digits "
                      "and hyphens, with no hyphen at either end"};
text_rule const ip_address_rule{is_ip_address, "an IPv4 or IPv6 address"};
text_rule const path_rule{
    is_path, "a path that begins with / and has at most 1024 visible ASCII "
             "characters without #"};
text_rule const any_text_rule{is_any_text, "a text of at most 1024 bytes"};

std::optional<object_reader> open_object(json const& value, std::string path,
                                         fault_list& out)
{
    if (!value.is_object())
    {
        out.push_back(
            {result_code::wrong_type, std::move(path),
             "found " + describe_value(value) + "; allowed: an object"});
        return std::nullopt;
    }
    return object_reader{&value, std::move(path), &out, {}, false};
}

std::string field_path(object_reader const& reader, std::string_view name)
{
    return reader.m_path.empty() ? std::string(name)
                                 : reader.m_path + "." + std::string(name);
}

void report(object_reader const& reader, std::string_view name,
            result_code code, std::string message)
{
    reader.m_faults->push_back(
        {code, field_path(reader, name), std::move(message)});
}

json const* find_field(object_reader& reader, std::string_view name,
                       presence expected)
{
    reader.m_known_fields.push_back(name);
    auto const found = reader.m_object->find(name);
    if (found != reader.m_object->end())
    {
        return &*found;
    }
    if (expected == presence::required)
    {
        report(reader, name, result_code::missing_field,
               "not found; the field is required");
    }
    return nullptr;
}

void read_text(object_reader& reader, std::string_view name, presence expected,
               text_rule const& rule, std::string& out)
{
    auto const* text =
        find_text(reader, name, expected, std::string(rule.m_description));
    if (text == nullptr)
    {
        return;
    }
    if (!rule.m_accepts(*text))
    {
        report_value(reader, name, result_code::value_out_of_range, *text,
                     std::string(rule.m_description));
        return;
    }
    out = *text;
}

void read_boolean(object_reader& reader, std::string_view name,
                  presence expected, bool& out)
{
    auto const* field = find_field(reader, name, expected);
    if (field == nullptr)
    {
        return;
    }
    if (!field->is_boolean())
    {
        report_value(reader, name, result_code::wrong_type, *field,
                     "true or false");
        return;
    }
    out = field->get<bool>();
}

void read_number(object_reader& reader, std::string_view name,
                 presence expected, double lowest, double highest, double& out)
{
    auto const* field = find_field(reader, name, expected);
    if (field == nullptr)
    {
        return;
    }
    auto const allowed = "a number, " + describe_range(number_text(lowest),
                                                       number_text(highest));
    if (!field->is_number())
    {
        report_value(reader, name, result_code::wrong_type, *field, allowed);
        return;
    }
    auto const number = field->get<double>();
    if (!(number >= lowest && number <= highest))
    {
        report_value(reader, name, result_code::value_out_of_range, *field,
                     allowed);
        return;
    }
    // Negative zero is normalized: it is printed as -0.0, which would change
    // the content hash.
    out = number == 0 ? 0.0 : number;
}

void read_duration(object_reader& reader, std::string_view name,
                   presence expected, core::duration lowest,
                   core::duration highest, core::duration& out)
{
    auto const allowed =
        "a whole number with one of the units ns, us, ms, s, m, h, " +
        describe_range(print_duration(lowest), print_duration(highest));
    auto const* text = find_text(reader, name, expected, allowed);
    if (text == nullptr)
    {
        return;
    }
    auto const parsed = parse_duration(*text);
    if (!parsed || *parsed < lowest || *parsed > highest)
    {
        report_value(reader, name, result_code::value_out_of_range, *text,
                     allowed);
        return;
    }
    out = *parsed;
}

void read_size(object_reader& reader, std::string_view name, presence expected,
               std::size_t lowest, std::size_t highest, std::size_t& out)
{
    auto const allowed =
        "a whole number with one of the units B, KiB, MiB, GiB, " +
        describe_range(print_size(lowest), print_size(highest));
    auto const* text = find_text(reader, name, expected, allowed);
    if (text == nullptr)
    {
        return;
    }
    auto const parsed = parse_size(*text);
    if (!parsed || *parsed < lowest || *parsed > highest)
    {
        report_value(reader, name, result_code::value_out_of_range, *text,
                     allowed);
        return;
    }
    out = *parsed;
}

std::optional<std::uint64_t> read_whole_number(object_reader& reader,
                                               std::string_view name,
                                               presence expected,
                                               std::uint64_t lowest,
                                               std::uint64_t highest)
{
    auto const* field = find_field(reader, name, expected);
    if (field == nullptr)
    {
        return std::nullopt;
    }
    auto const allowed =
        "a whole number, " +
        describe_range(std::to_string(lowest), std::to_string(highest));
    if (!field->is_number_integer())
    {
        report_value(reader, name, result_code::wrong_type, *field, allowed);
        return std::nullopt;
    }
    if (field->is_number_unsigned())
    {
        auto const number = field->get<std::uint64_t>();
        if (number >= lowest && number <= highest)
        {
            return number;
        }
    }
    report_value(reader, name, result_code::value_out_of_range, *field,
                 allowed);
    return std::nullopt;
}

std::optional<std::size_t>
read_keyword(object_reader& reader, std::string_view name, presence expected,
             std::vector<std::string_view> const& words)
{
    std::string allowed;
    for (auto const word : words)
    {
        allowed += (allowed.empty() ? "" : ", ") + std::string(word);
    }
    auto const* text = find_text(reader, name, expected, allowed);
    if (text == nullptr)
    {
        return std::nullopt;
    }
    auto const found = std::find(words.begin(), words.end(), *text);
    if (found == words.end())
    {
        report_value(reader, name, result_code::value_out_of_range, *text,
                     allowed);
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - words.begin());
}

void read_list(object_reader& reader, std::string_view name, presence expected,
               std::size_t min_count, std::size_t max_count,
               std::function<void(json const&, std::string)> const& read_entry)
{
    auto const* field = find_field(reader, name, expected);
    if (field == nullptr)
    {
        return;
    }
    auto const allowed =
        "a list of " +
        describe_range(std::to_string(min_count), std::to_string(max_count)) +
        " entries";
    if (!field->is_array())
    {
        report_value(reader, name, result_code::wrong_type, *field, allowed);
        return;
    }
    if (field->size() < min_count || field->size() > max_count)
    {
        report_value(reader, name, result_code::value_out_of_range, *field,
                     allowed);
        return;
    }
    std::size_t index = 0;
    for (auto const& entry : *field)
    {
        read_entry(entry, field_path(reader, name) + "[" +
                              std::to_string(index) + "]");
        ++index;
    }
}

void read_object(object_reader& reader, std::string_view name,
                 presence expected,
                 std::function<void(object_reader&)> const& read_fields)
{
    auto const* field = find_field(reader, name, expected);
    if (field == nullptr)
    {
        return;
    }
    auto inner =
        open_object(*field, field_path(reader, name), *reader.m_faults);
    if (inner)
    {
        read_fields(*inner);
        report_unknown_fields(*inner);
    }
}

void report_unknown_fields(object_reader const& reader)
{
    for (auto const& [name, value] : reader.m_object->items())
    {
        auto const& known = reader.m_known_fields;
        if (std::find(known.begin(), known.end(), name) != known.end())
        {
            continue;
        }
        std::string allowed;
        for (auto const field : known)
        {
            allowed += (allowed.empty() ? "" : ", ") + std::string(field);
        }
        report_value(reader, name, result_code::unknown_field, value,
                     "the fields " + allowed);
    }
}

} // namespace hawthornspur::config
