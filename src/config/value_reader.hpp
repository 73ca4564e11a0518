#ifndef HAWTHORNSPUR_CONFIG_VALUE_READER_HPP
#define HAWTHORNSPUR_CONFIG_VALUE_READER_HPP

#include "config/document.hpp"
#include "core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornspur::config
{

/// Reads the fields of one JSON object and collects all faults. A field with a
/// fault leaves its destination unchanged, and reading continues. The object
/// and the list of faults must outlive the reader.
struct object_reader
{
    nlohmann::json const* m_object = nullptr;
    /// Path of the object within the document.
    std::string m_path;
    fault_list* m_faults = nullptr;
    /// Names of the fields looked up so far; all others are unknown fields. The
    /// names must outlive the reader.
    std::vector<std::string_view> m_known_fields;
    /// Messages contain no texts and numbers of the object, which may be access
    /// keys.
    bool m_hides_values = false;
};

/// Whether a field has to be present.
enum class presence : std::uint8_t
{
    required,
    optional,
};

/// The texts that a field accepts. In messages the description follows
/// "allowed: ".
struct text_rule
{
    bool (*m_accepts)(std::string_view) = nullptr;
    std::string_view m_description;
};

/// 1 to 63 lower-case letters, digits and hyphens, no hyphen at either end. A
/// service is addressed by its name in the Host header, so names are labels of
/// host names (RFC 1123).
extern text_rule const name_rule;
extern text_rule const name_or_empty_rule;
extern text_rule const ip_address_rule;
extern text_rule const path_rule;
extern text_rule const any_text_rule;

/// Returns a reader of the object, or nothing after reporting a value that is
/// not an object.
std::optional<object_reader> open_object(nlohmann::json const& value,
                                         std::string path, fault_list& out);

/// Path of a field of the object within the document.
std::string field_path(object_reader const& reader, std::string_view name);

/// Adds a fault of a field to the list.
void report(object_reader const& reader, std::string_view name,
            result_code code, std::string message);

/// Returns the field, or null if it is absent. Reports an absent required one.
nlohmann::json const* find_field(object_reader& reader, std::string_view name,
                                 presence expected);

// The following functions read a field into `out`. They leave `out` unchanged
// if the field is absent, and after reporting a fault.

void read_text(object_reader& reader, std::string_view name, presence expected,
               text_rule const& rule, std::string& out);
void read_boolean(object_reader& reader, std::string_view name,
                  presence expected, bool& out);
void read_number(object_reader& reader, std::string_view name,
                 presence expected, double lowest, double highest, double& out);
void read_duration(object_reader& reader, std::string_view name,
                   presence expected, core::duration lowest,
                   core::duration highest, core::duration& out);
void read_size(object_reader& reader, std::string_view name, presence expected,
               std::size_t lowest, std::size_t highest, std::size_t& out);

/// Returns a whole number, or nothing after a fault or if it is absent. 1.0 is
/// refused.
std::optional<std::uint64_t> read_whole_number(object_reader& reader,
                                               std::string_view name,
                                               presence expected,
                                               std::uint64_t lowest,
                                               std::uint64_t highest);

template <class Integer>
void read_integer(object_reader& reader, std::string_view name,
                  presence expected, std::uint64_t lowest,
                  std::uint64_t highest, Integer& out)
{
    if (auto const number =
            read_whole_number(reader, name, expected, lowest, highest))
    {
        out = static_cast<Integer>(*number);
    }
}

/// Returns the index of the field's text in `words`, or nothing after a fault
/// or if the field is absent.
std::optional<std::size_t>
read_keyword(object_reader& reader, std::string_view name, presence expected,
             std::vector<std::string_view> const& words);

template <class Enumeration>
using choices = std::initializer_list<std::pair<std::string_view, Enumeration>>;

template <class Enumeration>
void read_choice(object_reader& reader, std::string_view name,
                 presence expected, choices<Enumeration> allowed,
                 Enumeration& out)
{
    std::vector<std::string_view> words;
    words.reserve(allowed.size());
    for (auto const& choice : allowed)
    {
        words.push_back(choice.first);
    }
    if (auto const index = read_keyword(reader, name, expected, words))
    {
        out = (allowed.begin() + *index)->second;
    }
}

/// Calls `read_entry` for each entry of a list with its path.
void read_list(
    object_reader& reader, std::string_view name, presence expected,
    std::size_t min_count, std::size_t max_count,
    std::function<void(nlohmann::json const&, std::string)> const& read_entry);

/// Appends one entry to `out` for each object of a list.
template <class T>
void read_objects(object_reader& reader, std::string_view name,
                  presence expected, std::size_t min_count,
                  std::size_t max_count,
                  void (*read_fields)(object_reader&, T&), std::vector<T>& out);

/// Reads a nested object.
void read_object(object_reader& reader, std::string_view name,
                 presence expected,
                 std::function<void(object_reader&)> const& read_fields);

/// Reports each field that was not looked up. To be called last.
void report_unknown_fields(object_reader const& reader);

template <class T>
void read_objects(object_reader& reader, std::string_view name,
                  presence expected, std::size_t min_count,
                  std::size_t max_count,
                  void (*read_fields)(object_reader&, T&), std::vector<T>& out)
{
    read_list(reader, name, expected, min_count, max_count,
              [&](nlohmann::json const& entry, std::string path)
              {
                  // An entry with faults is added too, so that the indexes in
                  // later faults match the file.
                  T& added = out.emplace_back();
                  auto inner =
                      open_object(entry, std::move(path), *reader.m_faults);
                  if (inner)
                  {
                      read_fields(*inner, added);
                      report_unknown_fields(*inner);
                  }
              });
}

} // namespace hawthornspur::config

#endif
