#include "config/document.hpp"
#include "config/json_text.hpp"
#include "config/sections.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace hawthornspur::config
{

namespace
{

constexpr std::size_t hash_digits = 16;

bool is_hash(std::string_view text)
{
    return text.size() == hash_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void add_part(stored_document& stored, document_head& head,
              nlohmann::ordered_json const& part)
{
    auto text = part.dump();
    auto hash = content_hash(text);
    head.m_parts.push_back(hash);
    stored.m_parts.emplace(std::move(hash), std::move(text));
}

/// Returns the text of a part, or null after reporting that it is missing or
/// damaged.
std::string const* find_part(stored_document const& stored,
                             std::string const& hash, fault_list& out)
{
    auto const found = stored.m_parts.find(hash);
    if (found == stored.m_parts.end())
    {
        out.push_back({result_code::missing_field, "parts." + hash,
                       "the part is missing, but the head refers to it"});
        return nullptr;
    }
    if (content_hash(found->second) != hash)
    {
        out.push_back({result_code::document_syntax, "parts." + hash,
                       "the text of the part has the hash " +
                           content_hash(found->second) + "; it is damaged"});
        return nullptr;
    }
    return &found->second;
}

/// Parses one part; `read_fields` reads its object. `path` is the path of the
/// part within the document.
template <class ReadFields>
void read_part(stored_document const& stored, std::string const& hash,
               std::string const& path, fault_list& out,
               ReadFields const& read_fields)
{
    auto const* text = find_part(stored, hash, out);
    if (text == nullptr)
    {
        return;
    }
    fault_list faults;
    auto const parsed = parse_json(*text, faults);
    if (!faults.empty())
    {
        out.insert(out.end(), faults.begin(), faults.end());
        return;
    }
    auto reader = open_object(parsed, path, out);
    if (reader)
    {
        read_fields(*reader);
        report_unknown_fields(*reader);
    }
}

} // namespace

std::string content_hash(std::string_view part)
{
    std::array<char, hash_digits> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + hash_digits,
                                   XXH64(part.data(), part.size(), 0), 16)
                         .ptr;
    auto const length = static_cast<std::size_t>(end - digits.data());
    return std::string(hash_digits - length, '0') +
           std::string(digits.data(), length);
}

stored_document split_document(core::configuration const& document)
{
    stored_document stored;
    document_head head{document.m_generation, document.m_change_id, {}};
    add_part(stored, head, print_common_section(document, key_form::plain));
    for (auto const& service : document.m_services)
    {
        add_part(stored, head, print_service(service));
    }
    stored.m_head = print_head(head);
    return stored;
}

std::string print_head(document_head const& head)
{
    nlohmann::ordered_json out;
    out["generation"] = head.m_generation;
    out["change_id"] = head.m_change_id;
    out["parts"] = head.m_parts;
    return out.dump();
}

parse_result<document_head> parse_head(std::string_view text)
{
    fault_list faults;
    auto const parsed = parse_json(text, faults);
    if (!faults.empty())
    {
        return faults;
    }
    document_head head;
    auto reader = open_object(parsed, "", faults);
    if (reader)
    {
        read_version(*reader, presence::required, head.m_generation,
                     head.m_change_id);
        // The first part is the common section, one part per service follows.
        read_list(*reader, "parts", presence::required, 1, max_services + 1,
                  [&](nlohmann::json const& entry, std::string path)
                  {
                      if (!entry.is_string() ||
                          !is_hash(entry.get_ref<std::string const&>()))
                      {
                          faults.push_back({result_code::wrong_type,
                                            std::move(path),
                                            "found " + describe_value(entry) +
                                                "; allowed: 16 hex digits"});
                          return;
                      }
                      head.m_parts.push_back(entry.get<std::string>());
                  });
        report_unknown_fields(*reader);
    }
    if (!faults.empty())
    {
        return faults;
    }
    return head;
}

parse_result<core::configuration> join_document(stored_document const& stored)
{
    auto parsed = parse_head(stored.m_head);
    if (auto* faults = std::get_if<fault_list>(&parsed))
    {
        return std::move(*faults);
    }
    auto const& head = std::get<document_head>(parsed);
    fault_list faults;
    core::configuration document;
    document.m_generation = head.m_generation;
    document.m_change_id = head.m_change_id;
    read_part(stored, head.m_parts.front(), "", faults,
              [&](object_reader& reader)
              { read_common_section(reader, document); });
    for (std::size_t i = 1; i < head.m_parts.size(); ++i)
    {
        auto const path = "services[" + std::to_string(i - 1) + "]";
        auto& service = document.m_services.emplace_back();
        read_part(stored, head.m_parts[i], path, faults,
                  [&](object_reader& reader)
                  { read_service(reader, service); });
    }
    if (faults.empty())
    {
        check_references(document, faults);
    }
    if (!faults.empty())
    {
        return faults;
    }
    return document;
}

} // namespace hawthornspur::config
