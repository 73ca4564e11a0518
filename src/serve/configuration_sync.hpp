#ifndef HAWTHORNSPUR_SERVE_CONFIGURATION_SYNC_HPP
#define HAWTHORNSPUR_SERVE_CONFIGURATION_SYNC_HPP

#include "core/newest_document.hpp"
#include "core/time.hpp"
#include "net/event_loop.hpp"
#include "platform/call_limiter.hpp"
#include "platform/configuration_store.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace hawthornspur::serve
{

/// State for keeping the configuration up to date. Lives as long as the host.
struct configuration_sync
{
    std::unique_ptr<platform::call_limiter> m_call_limiter;
    std::unique_ptr<platform::configuration_store> m_store;
    std::unique_ptr<net::timer> m_timer;
    std::uint64_t m_head_revision = 0;
    /// A call has failed, or a watch has ended without a change, since the head
    /// was read. The store may have come back from an earlier state with lower
    /// revisions, so a watch from the known one might never answer.
    bool m_is_head_unconfirmed = false;
    /// Why the stored document was rejected, to report each reason only once.
    std::string m_last_rejection_reason;
    core::newest_document m_newest;
    /// Time at which the generation in force was put in force.
    core::time_point m_in_force_since{};
    /// Reads of the own document format, whose store has no positions that all
    /// reads tell.
    std::uint64_t m_read_count = 0;
    core::time_point m_read_time{};
    bool m_is_watching = false;
    /// Generation last requested from a peer, the time of the request and the
    /// number of requests for it.
    std::uint64_t m_requested_generation = 0;
    core::time_point m_request_time{};
    std::size_t m_requests = 0;
    /// The document in force as peers receive it: the text that operators wrote
    /// to the users' store, otherwise printed at the first request.
    std::string m_peer_document_text;
};

} // namespace hawthornspur::serve

#endif
