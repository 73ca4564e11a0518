#ifndef HAWTHORNSPUR_SERVE_STORE_SYNC_HPP
#define HAWTHORNSPUR_SERVE_STORE_SYNC_HPP

#include "base/result.hpp"
#include "core/target_directory.hpp"
#include "core/time.hpp"
#include "net/event_loop.hpp"
#include "platform/call_limiter.hpp"
#include "platform/platform_calls.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Pause before a failed call to the store is made again. The limiter adds
/// pauses of its own in an outage.
inline constexpr std::chrono::milliseconds store_retry_interval{100};

/// How a host follows one range of the platform's store: a snapshot, then one
/// watch after the other, and a new snapshot when the history is lost.
struct range_watch
{
    std::string m_prefix;
    std::unique_ptr<net::timer> m_timer;
    /// Revision to continue from; nothing before the first snapshot.
    std::optional<std::uint64_t> m_revision;
    std::optional<core::time_point> m_failing_since;
    /// When the call in flight was sent, and the last one that failed. A watch
    /// that fails counts from its failure, since it may have waited long.
    core::time_point m_call_time{};
    core::time_point m_last_failure_time{};
    /// The host leaves the range to the watchers of its zone.
    bool m_is_polling = false;
    /// Since when the host watches again without having heard from the store;
    /// nothing once it has, or has found the store unreachable.
    std::optional<core::time_point> m_catching_up_since;
};

/// A host's dealings with a store that holds configuration, targets and hosts.
/// It lives as long as the host.
struct store_sync
{
    std::unique_ptr<platform::call_limiter> m_call_limiter;
    range_watch m_configuration;
    range_watch m_targets;
    core::target_directory m_target_directory;
    bool m_has_read_targets = false;
    core::time_point m_targets_read_time{};
    /// Of the hosts of its zone that the store lists, this one is_owner the
    /// pools.
    bool m_is_preferred_owner = false;
    std::unique_ptr<net::timer> m_lapse_timer;

    /// Registration of this host and the list of the others.
    std::unique_ptr<net::timer> m_registration_timer;
    std::string m_lease;
    bool m_is_registered = false;
    core::time_point m_last_host_read_time{};
    int m_host_read_count = 0;
};

/// Whether the host has read the targets, or takes them from its document.
bool has_target_list(entry_host const& host) noexcept;

/// Whether the host knows the hosts of its zone well enough to name owners.
/// When all hosts start together, each one that does not wait names itself, and
/// callers scatter over hosts that cannot carry them.
bool has_discovered_zone(entry_host const& host);

/// Whether the host may give work to targets by itself: a host that left the
/// range to others may not know yet which targets are leaving.
bool has_current_target_list(entry_host const& host) noexcept;

/// Goes on watching the ranges when this host has become a watcher.
void resume_store_watches(entry_host& host);

/// Starts following the store and registers this host there.
status start_store_sync(entry_host& host);

} // namespace hawthornspur::serve

#endif
