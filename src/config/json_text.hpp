#ifndef HAWTHORNSPUR_CONFIG_JSON_TEXT_HPP
#define HAWTHORNSPUR_CONFIG_JSON_TEXT_HPP

#include "config/document.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornspur::config
{

/// Largest size of a JSON text. The store accepts values of up to one megabyte;
/// whole documents keep to the same limit, so that they fit into one message
/// between peers.
constexpr std::size_t max_text_bytes = 1'000'000;

/// Parses JSON with comments. Reports syntax errors with line and column, and
/// fields that occur twice in one object with their name. Returns a JSON null
/// after a syntax error.
nlohmann::json parse_json(std::string_view text, fault_list& out);

/// Describes a value for messages. Long values are truncated.
std::string describe_value(nlohmann::json const& value);

} // namespace hawthornspur::config

#endif
