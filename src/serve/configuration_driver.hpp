#ifndef HAWTHORNSPUR_SERVE_CONFIGURATION_DRIVER_HPP
#define HAWTHORNSPUR_SERVE_CONFIGURATION_DRIVER_HPP

#include "base/result.hpp"
#include "core/configuration_state.hpp"
#include "net/peer_messages.hpp"

#include <cstdint>
#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Starts to keep the configuration up to date. A few hosts of each zone watch
/// the store and announce each new generation to the hosts linked with them,
/// which fetch the document.
status start_configuration_sync(entry_host& host);

/// Parses a document that operators wrote to a store that also holds the
/// targets, and applies it. Zones, registered targets and budgets are added to
/// it. The text is what other hosts get, so that each host parses the same one
/// in the same way. Errors: store_answer_malformed.
result<core::offer_result>
apply_operator_document(entry_host& host, std::string const& text,
                        core::configuration_source source);

/// 0 if no document is in force.
std::uint64_t generation_in_force(entry_host const& host) noexcept;

/// Counts and logs a rejected document once, although it is read repeatedly
/// until it is replaced.
void report_rejected_document(entry_host& host, std::string const& reason);

/// Replaces the targets of the document in force by those registered now.
void refresh_targets(entry_host& host);

/// Tells a linked host which generation is in force here, and whether a newer
/// document cannot be.
void announce_generation(entry_host& host, std::string const& peer);

enum class announcement_scope : std::uint8_t
{
    /// The hosts that do not have the generation.
    outdated,
    all,
};

/// Tells the hosts of the zone that keep a link to this one what
/// announce_generation() does. Gossip alone takes longer and reaches some of
/// them late.
void announce_to_zone(entry_host& host, announcement_scope scope);

/// Fetches the document of a newer generation that a peer announced, from the
/// best host with a link.
void on_newer_generation(entry_host& host, std::string const& peer,
                         std::uint64_t generation);

void on_configuration_request(entry_host& host, std::string const& from,
                              net::configuration_request const& request);
void on_configuration_reply(entry_host& host,
                            net::configuration_reply const& reply);

} // namespace hawthornspur::serve

#endif
