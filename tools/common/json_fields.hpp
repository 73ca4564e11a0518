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

/// Where the value of a JSON field is kept. A duration is a number of
/// milliseconds in JSON.
using field_pointer = std::variant<bool*, int*, std::uint64_t*, double*,
                                   std::string*, core::duration*>;

struct json_field
{
    std::string m_name;
    field_pointer m_value;
};

using json_fields = std::vector<json_field>;

/// Changes the values that the object names and keeps the others. Nothing is
/// changed when it fails. Errors: unknown_field, wrong_type.
status read_fields(nlohmann::json const& object, json_fields const& fields);

nlohmann::json write_fields(json_fields const& fields);

/// Errors: document_syntax for text that is not a JSON object.
result<nlohmann::json> parse_object(std::string const& text);

/// Errors: file_unreadable.
result<std::string> read_file(std::string const& path);

} // namespace hawthornspur::tools

#endif
