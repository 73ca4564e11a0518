#ifndef HAWTHORNSPUR_SERVE_CONFIGURATION_DRIVER_HPP
#define HAWTHORNSPUR_SERVE_CONFIGURATION_DRIVER_HPP

#include "base/result.hpp"
#include "core/configuration.hpp"
#include "net/peer_messages.hpp"

#include <cstdint>
#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Starts to follow the configuration: a few hosts of each zone watch the
/// store, every host reads the head now and then, and a host that hears of a
/// newer generation fetches the document from that peer.
status start_configuration_sync(entry_host& host);

/// Offers the document that operators wrote to a store that also holds the
/// targets; zones, targets and budgets are added here.
void apply_operator_document(entry_host& host, core::configuration document);

/// Puts the targets that are registered now into the document in force.
void refresh_targets(entry_host& host);

/// A peer announced a newer generation.
void on_newer_generation(entry_host& host, std::string const& peer,
                         std::uint64_t generation);

void on_configuration_request(entry_host& host, std::string const& from,
                              net::configuration_request const& request);
void on_configuration_reply(entry_host& host,
                            net::configuration_reply const& reply);

} // namespace hawthornspur::serve

#endif
