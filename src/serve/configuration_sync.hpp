#ifndef HAWTHORNSPUR_SERVE_CONFIGURATION_SYNC_HPP
#define HAWTHORNSPUR_SERVE_CONFIGURATION_SYNC_HPP

#include "core/time.hpp"
#include "net/event_loop.hpp"
#include "platform/call_limiter.hpp"
#include "platform/configuration_store.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace hawthornspur::serve
{

/// How a host follows the configuration; lives as long as the host.
struct configuration_sync
{
    std::unique_ptr<platform::call_limiter> m_call_limiter;
    std::unique_ptr<platform::configuration_store> m_store;
    std::unique_ptr<net::timer> m_timer;
    std::uint64_t m_head_revision = 0;
    /// Why the stored document was not taken, to report it only once.
    std::string m_last_rejection_reason;
    /// The document asked from a peer, and since when.
    std::uint64_t m_fetched_generation = 0;
    core::time_point m_fetch_start_time{};
    /// The document in force without targets that register themselves, for
    /// peers; its text is made when the first of them asks.
    std::shared_ptr<core::configuration const> m_peer_document;
    std::string m_peer_document_text;
};

} // namespace hawthornspur::serve

#endif
