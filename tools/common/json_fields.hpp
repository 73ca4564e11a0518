#ifndef HAWTHORNSPUR_TOOLS_COMMON_JSON_FIELDS_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_JSON_FIELDS_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hawthornspur::tools
{

/// Pointer to the variable that stores a JSON field. Durations are numbers of
/// milliseconds in JSON.
using field_pointer = std::variant<bool*, int*, std::uint64_t*, double*,
                                   std::string*, core::duration*>;

struct json_field
{
    std::string m_name;
    field_pointer m_value;
};

using json_fields = std::vector<json_field>;

/// Assigns the fields that are present in the object and leaves the others
/// unchanged. On an error no field is changed. Errors: unknown_field,
/// wrong_type.
status read_fields(nlohmann::json const& object, json_fields const& fields);

nlohmann::json write_fields(json_fields const& fields);

/// Parses a JSON object; comments are allowed. Errors: document_syntax.
result<nlohmann::json> parse_object(std::string const& text);

/// Errors: file_unreadable.
result<std::string> read_file(std::string const& path);

} // namespace hawthornspur::tools

#endif
