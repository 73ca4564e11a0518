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

/// Reads the fields of one JSON object and collects every fault. A fault
/// leaves the destination as it was, so that reading goes on and all faults
/// are found in one pass. It lives while one object is read.
struct object_reader
{
    nlohmann::json const* m_object = nullptr;
    std::string m_path;
    fault_list* m_faults = nullptr;
    /// Fields asked for so far; every other one is unknown.
    std::vector<std::string_view> m_known;
};

enum class need : std::uint8_t
{
    required,
    optional,
};

/// Describes which texts a field takes; the description completes "allowed: ".
struct text_rule
{
    bool (*m_accepts)(std::string_view) = nullptr;
    std::string_view m_description;
};

/// 1 to 63 lower-case letters, digits and hyphens, no hyphen at either end: a
/// label of a host name (RFC 1123), since a service is named by `Host`.
extern text_rule const name_rule;
extern text_rule const name_or_empty_rule;
extern text_rule const ip_address_rule;
extern text_rule const path_rule;
extern text_rule const any_text_rule;

/// Reports a value that is not an object and returns nothing.
std::optional<object_reader> open_object(nlohmann::json const& value,
                                         std::string path, fault_list& out);

std::string path_of(object_reader const& reader, std::string_view name);

/// Reports a fault of a field.
void report(object_reader const& reader, std::string_view name,
            result_code code, std::string message);

/// The field, or null when it is absent; an absent required one is reported.
nlohmann::json const* find_field(object_reader& reader, std::string_view name,
                                 need wanted);

void read_text(object_reader& reader, std::string_view name, need wanted,
               text_rule const& rule, std::string& out);
void read_boolean(object_reader& reader, std::string_view name, need wanted,
                  bool& out);
void read_number(object_reader& reader, std::string_view name, need wanted,
                 double lowest, double highest, double& out);
void read_duration(object_reader& reader, std::string_view name, need wanted,
                   core::duration lowest, core::duration highest,
                   core::duration& out);
void read_size(object_reader& reader, std::string_view name, need wanted,
               std::size_t lowest, std::size_t highest, std::size_t& out);

/// A whole number that is written as such; 1.0 is refused.
std::optional<std::uint64_t> read_whole(object_reader& reader,
                                        std::string_view name, need wanted,
                                        std::uint64_t lowest,
                                        std::uint64_t highest);

template <class Integer>
void read_integer(object_reader& reader, std::string_view name, need wanted,
                  std::uint64_t lowest, std::uint64_t highest, Integer& out)
{
    if (auto const number = read_whole(reader, name, wanted, lowest, highest))
    {
        out = static_cast<Integer>(*number);
    }
}

/// The index of the word, or nothing after a fault or when absent.
std::optional<std::size_t>
read_word(object_reader& reader, std::string_view name, need wanted,
          std::vector<std::string_view> const& words);

template <class Enumeration>
using choices = std::initializer_list<std::pair<std::string_view, Enumeration>>;

template <class Enumeration>
void read_choice(object_reader& reader, std::string_view name, need wanted,
                 choices<Enumeration> allowed, Enumeration& out)
{
    std::vector<std::string_view> words;
    words.reserve(allowed.size());
    for (auto const& choice : allowed)
    {
        words.push_back(choice.first);
    }
    if (auto const index = read_word(reader, name, wanted, words))
    {
        out = (allowed.begin() + *index)->second;
    }
}

/// Calls `each` for every entry with its path.
void read_list(
    object_reader& reader, std::string_view name, need wanted,
    std::size_t lowest_count, std::size_t highest_count,
    std::function<void(nlohmann::json const&, std::string)> const& each);

/// Reads a list of objects, one entry of `out` for each.
template <class T>
void read_objects(object_reader& reader, std::string_view name, need wanted,
                  std::size_t lowest_count, std::size_t highest_count,
                  void (*read_one)(object_reader&, T&), std::vector<T>& out);

/// Reads a nested object.
void read_object(object_reader& reader, std::string_view name, need wanted,
                 std::function<void(object_reader&)> const& body);

/// Reports every field that was not asked for. Called last.
void report_unknown_fields(object_reader const& reader);

template <class T>
void read_objects(object_reader& reader, std::string_view name, need wanted,
                  std::size_t lowest_count, std::size_t highest_count,
                  void (*read_one)(object_reader&, T&), std::vector<T>& out)
{
    read_list(reader, name, wanted, lowest_count, highest_count,
              [&](nlohmann::json const& entry, std::string path)
              {
                  // An entry with faults still takes its place, so that the
                  // indexes of later checks match the file.
                  T& made = out.emplace_back();
                  auto inner =
                      open_object(entry, std::move(path), *reader.m_faults);
                  if (inner)
                  {
                      read_one(*inner, made);
                      report_unknown_fields(*inner);
                  }
              });
}

} // namespace hawthornspur::config

#endif
