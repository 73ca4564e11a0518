#ifndef HAWTHORNSPUR_CONFIG_JSON_TEXT_HPP
#define HAWTHORNSPUR_CONFIG_JSON_TEXT_HPP

#include "config/document.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornspur::config
{

/// The store takes values up to one megabyte; a whole document keeps to it
/// too, so that a peer can send it in one piece.
constexpr std::size_t max_text_bytes = 1'000'000;

/// Parses JSON with comments. A syntax fault is reported with line and column,
/// a field that is written twice in one object with its name. Returns null
/// after a syntax fault.
nlohmann::json parse_json(std::string_view text, fault_list& out);

/// Short description of a value for messages; long values are cut.
std::string describe_value(nlohmann::json const& value);

} // namespace hawthornspur::config

#endif
