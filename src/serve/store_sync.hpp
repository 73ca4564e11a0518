#ifndef HAWTHORNSPUR_SERVE_STORE_SYNC_HPP
#define HAWTHORNSPUR_SERVE_STORE_SYNC_HPP

#include "base/result.hpp"
#include "core/missed_change.hpp"
#include "core/store_position.hpp"
#include "core/store_role.hpp"
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

/// Pause before a failed call to the store is repeated. During an outage the
/// call limiter adds pauses of its own.
inline constexpr std::chrono::milliseconds store_retry_interval{100};

/// State for one range of keys in the platform's store. The host reads a
/// snapshot, then watches for changes, and reads a new snapshot if the store
/// has lost the history.
struct range_watch
{
    std::string m_prefix;
    std::unique_ptr<net::timer> m_timer;
    /// Where the next watch continues.
    core::store_position m_position;
    /// Answers to calls with an earlier number are ignored: the store came back
    /// from an earlier state while they were under way.
    std::uint64_t m_call_number = 0;
    /// A call has failed since the last answer. The next watch does not wait,
    /// so that its answer shows whether the position still holds.
    bool m_is_position_unconfirmed = false;
    std::optional<core::time_point> m_failing_since;
    /// Send times of the last call and of the last failed call. For a failed
    /// watch the time of its failure is used, since it may have waited long.
    core::time_point m_call_time{};
    core::time_point m_last_failure_time{};
    /// Other hosts of the zone watch the range. This host polls it or does not
    /// read it at all.
    bool m_is_polling = true;
    /// Set when the host has become a watcher, until the store has answered or
    /// a call to it has failed.
    std::optional<core::time_point> m_catching_up_since;
};

/// State for a store that holds configuration, targets and hosts. Lives as long
/// as the host.
struct store_sync
{
    std::unique_ptr<platform::call_limiter> m_call_limiter;
    range_watch m_configuration;
    range_watch m_targets;
    core::target_directory m_target_directory;
    bool m_has_read_targets = false;
    /// Time at which the targets were read first.
    core::time_point m_targets_read_time{};
    /// This host owns the pools of its zone if all hosts in the store are live.
    bool m_is_preferred_owner = false;
    /// Runs out when lapsed target entries are to be removed.
    std::unique_ptr<net::timer> m_lapse_timer;
    /// Runs out when the targets have registered again after the store came
    /// back from an earlier state.
    std::unique_ptr<net::timer> m_restore_timer;
    /// Runs out when the watch of the targets is to be checked.
    std::unique_ptr<net::timer> m_watch_check_timer;

    /// Registration of this host and reads of the other hosts.
    std::unique_ptr<net::timer> m_registration_timer;
    std::string m_lease;
    bool m_is_registered = false;
    core::time_point m_last_host_read_time{};
    int m_host_read_count = 0;

    core::missed_change m_missed_change;
    core::store_role m_role = core::store_role::standby;
    /// This host has known others for long enough to know the leaders.
    bool m_has_settled_contact = false;
    core::time_point m_start_time{};
    /// Time at which this host heard of another host, while it knows one.
    std::optional<core::time_point> m_contact_time;
    /// Time since which there is no link to a watcher of the zone.
    std::optional<core::time_point> m_without_watcher_since;
    /// Runs out when the role may change by the passage of time.
    std::unique_ptr<net::timer> m_role_timer;
};

/// Whether the host has read the targets from the store. True if its document
/// contains them.
bool has_target_list(entry_host const& host) noexcept;

/// Whether the host may send requests to targets. A host that polls the targets
/// may not have read yet which of them are leaving, or which zones are
/// evacuated.
bool has_current_target_list(entry_host const& host) noexcept;

/// Determines what this host reads from the store, and starts to read it. To be
/// called after each change of membership or of a link.
void update_store_role(entry_host& host);

/// Reads the operators' document once, whatever the role of this host. An
/// answer that fails is not repeated.
void read_configuration_now(entry_host& host);

/// Asks the store for changes of the operators' range. An answer that shows
/// that this host knows all of them confirms the configuration.
void confirm_operator_range(entry_host& host);

/// Whether confirm_operator_range() can read the changes alone, and not the
/// whole range.
bool can_confirm_by_watch(entry_host const& host) noexcept;

/// Calls read_configuration_now() if other hosts have announced a document that
/// this one could not get from them. To be called at regular intervals.
void read_missed_configuration(entry_host& host);

/// Compares the epoch of another read with that of the ranges. A watch that was
/// opened after the store came back from an earlier state may not answer for
/// long.
void observe_store_epoch(entry_host& host, platform::store_epoch epoch);

/// Starts to read the store and registers this host in it.
status start_store_sync(entry_host& host);

} // namespace hawthornspur::serve

#endif
