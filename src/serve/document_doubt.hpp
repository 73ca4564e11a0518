#ifndef HAWTHORNSPUR_SERVE_DOCUMENT_DOUBT_HPP
#define HAWTHORNSPUR_SERVE_DOCUMENT_DOUBT_HPP

#include "core/configuration_state.hpp"
#include "core/newest_document.hpp"
#include "core/time.hpp"
#include "net/peer_messages.hpp"

#include <optional>
#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// A version of the document that a read of the store has shown.
struct document_read
{
    core::document_position m_position;
    /// Time at which the read was sent.
    core::time_point m_asked;
    /// What became of the version; nothing if it cannot be read, or if the
    /// document was removed.
    std::optional<core::offer_result> m_use;
    /// The read may have shown an earlier state of the store.
    bool m_may_be_stale = false;
};

/// Records what a read of the store has shown. If the newest version is not in
/// force, this host neither uses nor confirms access keys from then on, and
/// tells the hosts of its zone. `reason` says why a version cannot be read.
void record_document_read(entry_host& host, document_read const& read,
                          std::string const& reason = {});

/// Handles the report of another host on the newest version that it knows,
/// which m_newest has. If that host cannot put it in force, reads the store,
/// unless this host has read the version or a later one.
void on_newest_document(entry_host& host, std::string const& from,
                        net::generation_announcement const& message);

/// Adds to an announcement what this host knows of the newest version.
void add_newest_document(entry_host const& host,
                         net::generation_announcement& message);

/// To be called when another generation has come in force.
void on_generation_in_force(entry_host& host);

/// Records a confirmation of another host: at `time`, the newest document was
/// of at most this generation, and readable there.
void on_document_confirmed(entry_host& host, core::time_point time,
                           std::uint64_t generation);

/// Whether the newest document may not be the one in force.
bool is_document_in_doubt(entry_host const& host) noexcept;

} // namespace hawthornspur::serve

#endif
