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

/// One fault of a configuration document or settings file.
struct document_fault
{
    result_code m_code = result_code::document_syntax;
    /// Path of the field, for example "services[2].kinds[0].deadline".
    std::string m_path;
    /// The value that was found and the allowed ones.
    std::string m_message;
};

/// All faults of a file, so that an operator can correct them in one pass.
using fault_list = std::vector<document_fault>;

template <class T>
using parse_result = std::variant<T, fault_list>;

/// Parses a complete document, JSON with comments, and validates it: fields,
/// types, units, ranges, references and duplicate names.
parse_result<core::configuration> parse_document(std::string_view text);

/// How access keys are printed.
enum class key_form : std::uint8_t
{
    /// For the store and for other hosts.
    plain,
    /// A short digest, for output that persons read. Such a text is not a valid
    /// document.
    digest,
};

/// Prints a document in canonical form. With plain keys, parse_document() of
/// the text yields an equal document.
std::string print_document(core::configuration const& document,
                           key_form keys = key_form::plain);

/// A document in the form that is written to the store: a small head, and
/// immutable parts with their content hashes as keys.
struct stored_document
{
    std::string m_head;
    /// Key: content hash, 16 hex digits.
    std::map<std::string, std::string> m_parts;
};

/// xxHash64 of the text of a part as 16 hex digits.
std::string content_hash(std::string_view part);

stored_document split_document(core::configuration const& document);

struct document_head
{
    std::uint64_t m_generation = 0;
    std::string m_change_id;
    /// Content hashes: first the part common to all services, then one part for
    /// each service.
    std::vector<std::string> m_parts;
};

std::string print_head(document_head const& head);

parse_result<document_head> parse_head(std::string_view text);

/// Joins a head and its parts, and validates the document and the hashes of its
/// parts.
parse_result<core::configuration> join_document(stored_document const& stored);

/// One line per fault: "path: message (number name)" with the result code.
std::string describe(fault_list const& faults);

} // namespace hawthornspur::config

#endif
