#include "common/json_fields.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <type_traits>

namespace hawthornspur::tools
{

namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;

bool has_matching_type(nlohmann::json const& value,
                       field_pointer const& destination)
{
    if (std::holds_alternative<bool*>(destination))
    {
        return value.is_boolean();
    }
    if (std::holds_alternative<std::string*>(destination))
    {
        return value.is_string();
    }
    if (std::holds_alternative<int*>(destination))
    {
        return value.is_number_integer();
    }
    if (std::holds_alternative<std::uint64_t*>(destination))
    {
        return value.is_number_unsigned();
    }
    return value.is_number() && value.get<double>() >= 0;
}

void assign(nlohmann::json const& value, field_pointer const& destination)
{
    std::visit(
        [&](auto* destination_value)
        {
            using value_type =
                std::remove_pointer_t<decltype(destination_value)>;
            if constexpr (std::is_same_v<value_type, core::duration>)
            {
                *destination_value = std::chrono::duration_cast<core::duration>(
                    milliseconds(value.get<double>()));
            }
            else
            {
                *destination_value = value.get<value_type>();
            }
        },
        destination);
}

} // namespace

status read_fields(nlohmann::json const& object, json_fields const& fields)
{
    std::vector<std::pair<nlohmann::json const*, field_pointer>> changes;
    for (auto const& [name, value] : object.items())
    {
        auto const found =
            std::find_if(fields.begin(), fields.end(),
                         [&wanted_name = name](json_field const& field)
                         { return field.m_name == wanted_name; });
        if (found == fields.end())
        {
            return make_error(result_code::unknown_field,
                              "unknown field " + name);
        }
        if (!has_matching_type(value, found->m_value))
        {
            return make_error(result_code::wrong_type,
                              name + " has the wrong type");
        }
        changes.emplace_back(&value, found->m_value);
    }
    for (auto const& [value, destination] : changes)
    {
        assign(*value, destination);
    }
    return success();
}

nlohmann::json write_fields(json_fields const& fields)
{
    auto object = nlohmann::json::object();
    for (auto const& field : fields)
    {
        std::visit(
            [&](auto const* value)
            {
                using value_type =
                    std::remove_cvref_t<std::remove_pointer_t<decltype(value)>>;
                if constexpr (std::is_same_v<value_type, core::duration>)
                {
                    object[field.m_name] = milliseconds(*value).count();
                }
                else
                {
                    object[field.m_name] = *value;
                }
            },
            field.m_value);
    }
    return object;
}

result<nlohmann::json> parse_object(std::string const& text)
{
    auto parsed = nlohmann::json::parse(text, nullptr, false, true);
    if (!parsed.is_object())
    {
        return make_error(result_code::document_syntax,
                          "the text is not a JSON object");
    }
    return parsed;
}

result<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return make_error(result_code::file_unreadable, "cannot read " + path);
    }
    return std::string{std::istreambuf_iterator<char>(file), {}};
}

} // namespace hawthornspur::tools
