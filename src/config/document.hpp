#ifndef HAWTHORNSPUR_CONFIG_DOCUMENT_HPP
#define HAWTHORNSPUR_CONFIG_DOCUMENT_HPP

#include "base/result.hpp"
#include "core/configuration.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornspur::config
{

/// One fault of a document or settings file.
struct document_fault
{
    result_code m_code = result_code::document_syntax;
    /// Path of the field, for example "services[2].kinds[0].deadline".
    std::string m_path;
    /// The value found and what is allowed.
    std::string m_message;
};

/// All faults at once, so that an operator can correct them in one pass.
using fault_list = std::vector<document_fault>;

template <class T>
using parse_result = std::variant<T, fault_list>;

/// Parses and checks a whole document: JSON with comments, unknown fields,
/// units, ranges, references, duplicate names.
parse_result<core::configuration> parse_document(std::string_view text);

/// Prints a document in canonical form; parse_document reads it back equal.
std::string print_document(core::configuration const& document);

/// What the store holds: a small head and immutable parts under their hash.
struct stored_document
{
    std::string m_head;
    /// Key: content hash, 16 hex digits.
    std::map<std::string, std::string> m_parts;
};

/// xxHash64 of a part's text as 16 hex digits, the part's key in the store.
std::string content_hash(std::string_view part);

stored_document split_document(core::configuration const& document);

/// The hashes of the parts that a head names, and its generation.
struct document_head
{
    std::uint64_t m_generation = 0;
    std::string m_change_id;
    std::vector<std::string> m_parts;
};

std::string print_head(document_head const& head);

parse_result<document_head> parse_head(std::string_view text);

/// Joins a head and its parts and checks the whole, also that each part has
/// the hash that the head names.
parse_result<core::configuration> join_document(stored_document const& stored);

/// One line per fault: "path: message (code)".
std::string describe(fault_list const& list);

} // namespace hawthornspur::config

#endif
