#ifndef HAWTHORNSPUR_CONFIG_SECTIONS_HPP
#define HAWTHORNSPUR_CONFIG_SECTIONS_HPP

#include "config/document.hpp"
#include "config/value_reader.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>

namespace hawthornspur::config
{

// Limits of documents, well above the size planned for: 2,700 targets in 110
// services and 16 zones.
constexpr std::size_t max_zones = 64;
constexpr std::size_t max_services = 1000;
constexpr std::size_t max_kinds = 5000;
constexpr std::size_t max_routes = 10'000;
constexpr std::size_t max_targets = 5000;
constexpr std::size_t max_customers = 10'000;

// One pair of functions for each section of a document. The print functions
// write the fields in a fixed order: equal sections have equal texts and
// content hashes.
void read_kind(object_reader& reader, core::kind_config& out);
nlohmann::ordered_json print_kind(core::kind_config const& kind);

void read_target(object_reader& reader, core::target_config& out);
nlohmann::ordered_json print_target(core::target_config const& target);

void read_service(object_reader& reader, core::service_config& out);
nlohmann::ordered_json print_service(core::service_config const& service);

/// Reads the optional list of customers. The document has no table of them if
/// the list is empty.
void read_customers(object_reader& reader, core::configuration& out);
nlohmann::ordered_json print_customers(core::customer_table const& table,
                                       key_form keys);

/// Digest that stands for an access key in output: the first 8 digits of its
/// content_hash().
std::string key_digest(std::string_view key);

/// Zones, routes, customers and the settings common to all services.
void read_common_section(object_reader& reader, core::configuration& out);
nlohmann::ordered_json print_common_section(core::configuration const& document,
                                            key_form keys);

/// Reads generation and change id, which are optional in a file written by
/// hand.
void read_version(object_reader& reader, presence expected,
                  std::uint64_t& generation, std::string& change_id);

/// Checks what depends on several fields: references, duplicate names, kinds
/// that can never match.
void check_references(core::configuration const& document, fault_list& out);

} // namespace hawthornspur::config

#endif
