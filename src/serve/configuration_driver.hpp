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
status start_configuration(entry_host& h);

/// Offers the document that operators wrote to a store that also holds the
/// targets; zones, targets and budgets are added here.
void take_operator_document(entry_host& h, core::configuration document);

/// Puts the targets that are registered now into the document in force.
void refresh_targets(entry_host& h);

/// A peer announced a newer generation.
void on_newer_generation(entry_host& h, std::string const& peer,
                         std::uint64_t generation);

void on_configuration_request(entry_host& h, std::string const& from,
                              net::configuration_request const& request);
void on_configuration_reply(entry_host& h,
                            net::configuration_reply const& reply);

} // namespace hawthornspur::serve

#endif
