#include "serve/store_sync.hpp"

#include "base/logging.hpp"
#include "platform/scheduler.hpp"
#include "platform/store_layout.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/configuration_proofs.hpp"
#include "serve/configuration_sync.hpp"
#include "serve/document_doubt.hpp"
#include "serve/evacuations.hpp"
#include "serve/host.hpp"
#include "serve/host_registration.hpp"
#include "serve/membership_driver.hpp"
#include "serve/readiness.hpp"
#include "serve/store_role_inputs.hpp"
#include "serve/stored_configuration.hpp"
#include "serve/stored_targets.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Long, since each watch counts as a call. A silent connection is detected by
/// its keep-alive, not by the end of the wait.
constexpr auto watch_wait = std::chrono::seconds(25);

/// Long enough for an answer only; the store answers within milliseconds.
constexpr auto confirmation_wait = std::chrono::milliseconds(1);

/// Pauses between watches, so that one call reads all changes of targets that
/// start one after the other. A change must reach the owners within 2 s.
/// A host without pools uses the targets only after it has become an owner.
constexpr auto owner_change_interval = std::chrono::milliseconds(300);
constexpr auto other_change_interval = std::chrono::milliseconds(1200);

constexpr auto document_change_interval = std::chrono::milliseconds(50);

/// Shorter outages of the store do not let entries of targets lapse.
constexpr auto min_outage = std::chrono::milliseconds(1500);

/// Time between the first snapshot and the watch, in which the host finds its
/// peers. Most hosts then do not watch, since others watch for them.
constexpr auto watch_start_delay = std::chrono::milliseconds(800);

/// Interval at which reserve hosts read a possibly stale copy.
constexpr auto polling_interval = std::chrono::seconds(5);

/// Longest pause between calls in an outage, well within the time in which a
/// change must be in force after it.
constexpr auto max_retry_pause = std::chrono::milliseconds(500);

/// Longest wait of a new watcher for the changes that it missed. If the store
/// is slower, the host uses the targets that it has.
constexpr auto max_catch_up_time = std::chrono::milliseconds(300);

/// A host becomes a reserve at the start of a fleet or after the loss of other
/// hosts, when the store has more urgent calls to answer.
constexpr auto reserve_start_delay = std::chrono::seconds(1);

/// Interval at which a host without other hosts or without a watcher decides
/// anew whether to read the store.
constexpr auto role_check_interval = std::chrono::milliseconds(50);

/// Shorter than the time in which a change of the targets must take effect.
/// Each check costs a tenth of a call.
constexpr auto watch_check_interval = std::chrono::milliseconds(1200);

void read_range(entry_host& host, range_watch& range);

void log_range(range_watch const& range, logging::level severity,
               std::string_view message, std::string reason)
{
    logging::write(severity, "serve.store", message,
                   {{"range", range.m_prefix},
                    {"reason", std::move(reason)},
                    {"revision",
                     std::to_string(range.m_position.m_revision.value_or(0))}});
}

/// Handles an answer which shows that the store came back from an earlier
/// state: reads both ranges anew and registers again. The revisions, the lease
/// and the entries that this host knows are from before.
void on_store_restored(entry_host& host, range_watch const& range,
                       platform::store_epoch epoch, std::uint64_t revision)
{
    auto& sync = *host.m_store_sync;
    host.m_metrics.count_event("store_restored");
    logging::write(logging::level::warn, "serve.store",
                   "store came back from an earlier state",
                   {{"range", range.m_prefix},
                    {"known_epoch", std::to_string(range.m_position.m_epoch)},
                    {"known_revision",
                     std::to_string(range.m_position.m_revision.value_or(0))},
                    {"epoch", std::to_string(epoch)},
                    {"revision", std::to_string(revision)}});
    for (auto* other : {&sync.m_configuration, &sync.m_targets})
    {
        other->m_position = {epoch, std::nullopt};
        ++other->m_call_number;
        if (!other->m_is_polling)
        {
            other->m_timer->start(core::duration(0));
        }
        else if (sync.m_role == core::store_role::reserve)
        {
            other->m_timer->start(reserve_start_delay);
        }
    }
    core::record_restored_store(host.m_configuration_sync->m_newest);
    core::record_registry_restore(sync.m_target_directory, now());
    sync.m_restore_timer->start(core::lapsed_entry_grace);
    sync.m_lease.clear();
    if (sync.m_role == core::store_role::watcher)
    {
        sync.m_registration_timer->start(core::duration(0));
    }
}

/// Whether the answer is a snapshot, which can be applied whatever was known
/// before, or continues from the position of the range.
enum class answer_kind : std::uint8_t
{
    snapshot,
    stale_snapshot,
    changes,
};

/// Compares an answer with the position of the range and returns whether it is
/// to be applied.
bool accept_answer(entry_host& host, range_watch& range,
                   platform::store_epoch epoch, std::uint64_t revision,
                   answer_kind kind)
{
    range.m_is_position_unconfirmed = false;
    switch (core::compare_read(range.m_position, epoch, revision,
                               kind == answer_kind::stale_snapshot))
    {
    case core::read_order::current:
        range.m_position = {epoch, revision};
        return true;
    case core::read_order::restored:
        on_store_restored(host, range, epoch, revision);
        if (kind == answer_kind::changes)
        {
            return false;
        }
        range.m_position = {epoch, revision};
        return true;
    case core::read_order::outdated:
        break;
    }
    host.m_metrics.count_event("store_answer_outdated");
    log_range(range, logging::level::info,
              "store answer not taken, older than what is known", "");
    return false;
}

void on_store_answer(entry_host& host, range_watch& range)
{
    if (!range.m_failing_since)
    {
        return;
    }
    auto const outage = now() - *range.m_failing_since;
    range.m_failing_since.reset();
    host.m_metrics.count_event("store_regained");
    log_range(range, logging::level::info, "store regained", "");
    if (outage >= min_outage)
    {
        core::record_registry_recovery(host.m_store_sync->m_target_directory,
                                       range.m_last_failure_time, now());
    }
}

void on_store_failure(entry_host& host, range_watch& range, error const& cause)
{
    if (cause.m_code == result_code::history_lost)
    {
        // The store answered, so any outage is over.
        on_store_answer(host, range);
        host.m_metrics.count_event("store_history_lost");
        log_range(range, logging::level::info,
                  "store history lost, reading a new snapshot", "");
        range.m_position.m_revision.reset();
        range.m_timer->start(core::duration(0));
        return;
    }
    host.m_metrics.count_event("store_call_failed");
    range.m_catching_up_since.reset();
    range.m_is_position_unconfirmed = true;
    range.m_last_failure_time = range.m_call_time;
    if (!range.m_failing_since)
    {
        range.m_failing_since = now();
        log_range(range, logging::level::warn, "store lost", cause.m_message);
    }
    range.m_timer->start(store_retry_interval);
}

void apply_snapshot(entry_host& host, range_watch& range,
                    platform::stored_range const& snapshot, bool is_latest,
                    core::time_point asked)
{
    if (&range == &host.m_store_sync->m_targets)
    {
        apply_target_snapshot(host, snapshot);
        return;
    }
    apply_configuration_snapshot(host, snapshot, is_latest, asked);
}

void apply_changes(entry_host& host, range_watch& range,
                   platform::range_changes const& changes,
                   core::time_point asked)
{
    if (&range == &host.m_store_sync->m_targets)
    {
        apply_target_changes(host, changes);
        return;
    }
    apply_configuration_changes(host, changes, asked);
}

core::duration change_interval(entry_host const& host, range_watch const& range)
{
    if (&range != &host.m_store_sync->m_targets)
    {
        return document_change_interval;
    }
    bool const owns_pool =
        std::any_of(host.m_pools.begin(), host.m_pools.end(),
                    [](auto const& entry) { return entry.second->m_is_owned; });
    return owns_pool ? owner_change_interval : other_change_interval;
}

/// Plans the next call for a range: the watch of a watcher after `delay`, or
/// the next poll of a reserve host.
void schedule_next_read(entry_host& host, range_watch& range,
                        core::duration delay)
{
    auto const role = host.m_store_sync->m_role;
    bool const is_polling = role != core::store_role::watcher;
    if (is_polling && !range.m_is_polling)
    {
        log_range(range, logging::level::info, "store watch left to others",
                  "");
    }
    range.m_is_polling = is_polling;
    if (!is_polling)
    {
        range.m_timer->start(delay);
    }
    else if (role == core::store_role::reserve)
    {
        range.m_timer->start(polling_interval);
    }
}

/// Plans the next call after changes that were not applied. After a restore,
/// which ends the numbers of earlier calls, both ranges have their next call.
void schedule_after_unused_changes(entry_host& host, range_watch& range,
                                   std::uint64_t call_number)
{
    if (call_number == range.m_call_number)
    {
        schedule_next_read(host, range, store_retry_interval);
    }
}

/// Whether the snapshot is at least as new as `known` and of the same epoch, so
/// that the store has not come back from an earlier state meanwhile.
bool confirms_position(core::store_position const& known,
                       platform::stored_range const& snapshot)
{
    return core::compare_read(known, snapshot.m_epoch,
                              snapshot.m_store_revision,
                              false) == core::read_order::current;
}

void read_snapshot(entry_host& host, range_watch& range,
                   platform::freshness freshness)
{
    range.m_call_time = now();
    host.m_platform_calls.m_get_range(
        range.m_prefix, freshness,
        [&host, &range, freshness, number = ++range.m_call_number,
         asked =
             range.m_call_time](result<platform::stored_range> const& answer)
        {
            detect_pause(host);
            if (number != range.m_call_number)
            {
                return;
            }
            if (!has_value(answer))
            {
                on_store_failure(host, range, failure(answer));
                return;
            }
            on_store_answer(host, range);
            auto const& snapshot = value(answer);
            bool const is_latest = freshness == platform::freshness::latest;
            bool const is_confirmation =
                is_latest && &range == &host.m_store_sync->m_configuration &&
                confirms_position(range.m_position, snapshot);
            if (!accept_answer(host, range, snapshot.m_epoch,
                               snapshot.m_store_revision,
                               is_latest ? answer_kind::snapshot
                                         : answer_kind::stale_snapshot))
            {
                schedule_next_read(host, range, store_retry_interval);
                return;
            }
            if (is_latest)
            {
                range.m_catching_up_since.reset();
            }
            apply_snapshot(host, range, snapshot, is_latest, asked);
            schedule_next_read(host, range, watch_start_delay);
            if (is_confirmation)
            {
                confirm_configuration(host, asked);
            }
        });
}

void watch_changes(entry_host& host, range_watch& range)
{
    auto const wait = range.m_is_position_unconfirmed
                          ? core::duration(confirmation_wait)
                          : core::duration(watch_wait);
    host.m_platform_calls.m_watch_range(
        range.m_prefix, *range.m_position.m_revision, wait,
        [&host, &range, asked = now(), number = ++range.m_call_number](
            result<platform::range_changes> const& answer)
        {
            detect_pause(host);
            if (number != range.m_call_number)
            {
                return;
            }
            if (!has_value(answer))
            {
                range.m_call_time = now();
                on_store_failure(host, range, failure(answer));
                return;
            }
            on_store_answer(host, range);
            auto const& changes = value(answer);
            auto const known = range.m_position.m_revision.value_or(0);
            if (!accept_answer(host, range, changes.m_epoch,
                               std::max(known, changes.m_store_revision),
                               answer_kind::changes))
            {
                schedule_after_unused_changes(host, range, number);
                return;
            }
            range.m_catching_up_since.reset();
            apply_changes(host, range, changes, asked);
            schedule_next_read(host, range,
                               changes.m_events.empty()
                                   ? core::duration(0)
                                   : change_interval(host, range));
        });
}

/// Applies changes that the open watch has not reported, and replaces it.
void apply_unreported_changes(entry_host& host, range_watch& range,
                              platform::range_changes const& changes,
                              core::time_point asked)
{
    ++range.m_call_number;
    apply_changes(host, range, changes, asked);
    schedule_next_read(host, range, change_interval(host, range));
}

/// Reads the changes that an open watch should have reported. If there are any,
/// its connection is silent and another watch replaces it.
void confirm_watch(entry_host& host, range_watch& range)
{
    host.m_platform_calls.m_watch_range(
        range.m_prefix, *range.m_position.m_revision, confirmation_wait,
        [&host, &range, asked = now(), number = range.m_call_number](
            result<platform::range_changes> const& answer)
        {
            detect_pause(host);
            if (number != range.m_call_number || !has_value(answer))
            {
                return;
            }
            auto const& changes = value(answer);
            auto const known = range.m_position.m_revision.value_or(0);
            if (!accept_answer(host, range, changes.m_epoch,
                               std::max(known, changes.m_store_revision),
                               answer_kind::changes) ||
                changes.m_events.empty())
            {
                return;
            }
            host.m_metrics.count_event("store_watch_silent");
            log_range(range, logging::level::warn, "store watch is silent", "");
            apply_unreported_changes(host, range, changes, asked);
        });
}

/// Handles the answer to a question for changes after the revision `known`,
/// sent at `asked`.
void on_range_confirmation(entry_host& host, range_watch& range,
                           std::uint64_t known, core::time_point asked,
                           result<platform::range_changes> const& answer)
{
    if (!has_value(answer))
    {
        if (failure(answer).m_code == result_code::history_lost)
        {
            // The open watch may be silent, and its position is of no use.
            on_store_failure(host, range, failure(answer));
        }
        return;
    }
    auto const& changes = value(answer);
    auto const newest = range.m_position.m_revision.value_or(0);
    if (changes.m_store_revision < known ||
        !accept_answer(host, range, changes.m_epoch,
                       std::max(newest, changes.m_store_revision),
                       answer_kind::changes))
    {
        return;
    }
    if (!changes.m_events.empty())
    {
        apply_unreported_changes(host, range, changes, asked);
    }
    confirm_configuration(host, asked);
}

/// Compares the revision of the store with that of the open watch of the
/// targets. A store whose answer was lost does not answer on the connection
/// again, which keep-alive probes do not show.
void check_target_watch(entry_host& host)
{
    auto& sync = *host.m_store_sync;
    auto& range = sync.m_targets;
    sync.m_watch_check_timer->start(watch_check_interval);
    if (sync.m_role != core::store_role::watcher || range.m_is_polling ||
        range.m_failing_since || !range.m_position.m_revision)
    {
        return;
    }
    host.m_platform_calls.m_get_range(
        registration_key(host), platform::freshness::may_be_stale,
        [&host, &range](result<platform::stored_range> const& answer)
        {
            detect_pause(host);
            auto const& known = range.m_position;
            if (has_value(answer) && known.m_revision &&
                value(answer).m_epoch == known.m_epoch &&
                value(answer).m_store_revision > *known.m_revision)
            {
                confirm_watch(host, range);
            }
        });
}

void read_range(entry_host& host, range_watch& range)
{
    auto const role = host.m_store_sync->m_role;
    if (role == core::store_role::standby)
    {
        range.m_is_polling = true;
        return;
    }
    if (role == core::store_role::reserve)
    {
        read_snapshot(host, range, platform::freshness::may_be_stale);
        return;
    }
    if (!range.m_position.m_revision || range.m_catching_up_since)
    {
        // A watch does not answer before the next change, so it cannot confirm
        // that the host is up to date.
        read_snapshot(host, range, platform::freshness::latest);
        return;
    }
    watch_changes(host, range);
}

std::string_view to_string(core::store_role role)
{
    switch (role)
    {
    case core::store_role::standby:
        return "standby";
    case core::store_role::reserve:
        return "reserve";
    case core::store_role::watcher:
        break;
    }
    return "watcher";
}

status make_timer(entry_host& host, std::unique_ptr<net::timer>& out,
                  std::function<void()> action)
{
    auto timer = net::timer::create(*host.m_loop,
                                    [&host, action = std::move(action)]
                                    {
                                        detect_pause(host);
                                        action();
                                    });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    out = take(std::move(timer));
    return success();
}

/// Whether this host watches the range and is up to date with it, as far as the
/// store answers in time.
bool is_current(range_watch const& range)
{
    return !range.m_is_polling &&
           (!range.m_catching_up_since ||
            now() - *range.m_catching_up_since >= max_catch_up_time);
}

} // namespace

bool has_target_list(entry_host const& host) noexcept
{
    return host.m_store_sync == nullptr ||
           host.m_store_sync->m_has_read_targets;
}

void update_store_role(entry_host& host)
{
    if (host.m_store_sync == nullptr ||
        host.m_store_sync->m_role_timer == nullptr)
    {
        return;
    }
    auto& sync = *host.m_store_sync;
    auto const others = core::hosts(*host.m_membership);
    auto const inputs = observe_role_inputs(host, others);
    auto const role =
        core::choose_store_role(core::self(*host.m_membership), others,
                                max_owners_per_zone(host), inputs);
    sync.m_has_settled_contact = core::has_settled_contact(inputs);
    if (!core::is_store_role_settled(inputs))
    {
        sync.m_role_timer->start(role_check_interval);
    }
    auto const previous = std::exchange(sync.m_role, role);
    if (previous == role || role == core::store_role::standby)
    {
        return;
    }
    logging::write(logging::level::info, "serve.store", "store role changed",
                   {{"role", std::string(to_string(role))}});
    for (auto* range : {&sync.m_configuration, &sync.m_targets})
    {
        if (role == core::store_role::reserve)
        {
            // The end of a watch that is still open schedules the next read.
            if (range->m_is_polling)
            {
                range->m_timer->start(reserve_start_delay);
            }
        }
        else if (std::exchange(range->m_is_polling, false))
        {
            range->m_catching_up_since = now();
            log_range(*range, logging::level::info, "store watch resumed", "");
            range->m_timer->start(core::duration(0));
        }
    }
    if (role == core::store_role::watcher)
    {
        sync.m_registration_timer->start(core::duration(0));
    }
}

bool has_current_target_list(entry_host const& host) noexcept
{
    if (host.m_store_sync == nullptr)
    {
        return true;
    }
    auto const& sync = *host.m_store_sync;
    // The operators' range says which zones are evacuated.
    bool const has_evacuations =
        host.m_adapter.m_store_layout->m_evacuated_zone != nullptr;
    return sync.m_has_read_targets && is_current(sync.m_targets) &&
           (!has_evacuations || is_current(sync.m_configuration));
}

void read_configuration_now(entry_host& host)
{
    host.m_metrics.count_event("missed_document_read");
    host.m_platform_calls.m_get_range(
        host.m_store_sync->m_configuration.m_prefix,
        platform::freshness::latest,
        [&host, asked = now(),
         known = host.m_store_sync->m_configuration.m_position](
            result<platform::stored_range> const& answer)
        {
            detect_pause(host);
            if (!has_value(answer))
            {
                host.m_metrics.count_event("store_call_failed");
                return;
            }
            auto const& snapshot = value(answer);
            apply_configuration_snapshot(host, snapshot, true, asked);
            observe_store_epoch(host, snapshot.m_epoch);
            if (confirms_position(known, snapshot))
            {
                confirm_configuration(host, asked);
            }
        });
}

bool can_confirm_by_watch(entry_host const& host) noexcept
{
    auto const* sync = host.m_store_sync.get();
    return sync != nullptr && sync->m_role == core::store_role::watcher &&
           !sync->m_configuration.m_is_polling &&
           // A newer answer would make the snapshot under way look like one
           // from before a restore.
           !sync->m_configuration.m_catching_up_since &&
           sync->m_configuration.m_position.m_revision.has_value();
}

void confirm_operator_range(entry_host& host)
{
    if (!can_confirm_by_watch(host))
    {
        read_configuration_now(host);
        return;
    }
    auto& range = host.m_store_sync->m_configuration;
    host.m_platform_calls.m_watch_range(
        range.m_prefix, *range.m_position.m_revision, confirmation_wait,
        [&host, &range, number = range.m_call_number, asked = now(),
         known = *range.m_position.m_revision](
            result<platform::range_changes> const& answer)
        {
            detect_pause(host);
            if (number == range.m_call_number)
            {
                on_range_confirmation(host, range, known, asked, answer);
            }
        });
}

void read_missed_configuration(entry_host& host)
{
    if (host.m_store_sync != nullptr &&
        core::is_own_read_due(host.m_store_sync->m_missed_change,
                              host.m_configuration, is_document_in_doubt(host),
                              now()))
    {
        logging::write(
            logging::level::warn, "serve.store",
            "reading the document, which peers did not send or is in doubt",
            {{"generation",
              std::to_string(host.m_configuration.m_newest_generation)}});
        read_configuration_now(host);
    }
}

void observe_store_epoch(entry_host& host, platform::store_epoch epoch)
{
    auto const& range = host.m_store_sync->m_configuration;
    if (range.m_position.m_epoch != 0 && epoch > range.m_position.m_epoch)
    {
        on_store_restored(host, range, epoch, 0);
    }
}

status start_store_sync(entry_host& host)
{
    host.m_store_sync = std::make_unique<store_sync>();
    auto& sync = *host.m_store_sync;
    platform::call_limiter_settings limits;
    limits.m_calls_per_second = host.m_settings.m_platform_calls_per_second;
    limits.m_burst = host.m_settings.m_platform_calls_per_second;
    limits.m_max_backoff = max_retry_pause;
    sync.m_call_limiter = platform::call_limiter::create(
        std::move(host.m_platform_calls),
        platform::make_loop_scheduler(*host.m_loop), limits, host.m_random());
    host.m_platform_calls = sync.m_call_limiter->calls();
    auto const& layout = *host.m_adapter.m_store_layout;
    sync.m_configuration.m_prefix = layout.m_configuration_prefix;
    sync.m_targets.m_prefix = layout.m_target_prefix;
    for (auto const& created :
         {make_timer(host, sync.m_configuration.m_timer,
                     [&host]
                     { read_range(host, host.m_store_sync->m_configuration); }),
          make_timer(host, sync.m_targets.m_timer,
                     [&host]
                     { read_range(host, host.m_store_sync->m_targets); }),
          make_timer(host, sync.m_registration_timer,
                     [&host] { advance_registration(host); }),
          make_timer(host, sync.m_restore_timer,
                     [&host]
                     {
                         auto& targets = host.m_store_sync->m_targets;
                         targets.m_position.m_revision.reset();
                         if (!targets.m_is_polling)
                         {
                             read_range(host, targets);
                         }
                     }),
          make_timer(host, sync.m_watch_check_timer,
                     [&host] { check_target_watch(host); }),
          make_timer(host, sync.m_role_timer,
                     [&host]
                     {
                         update_store_role(host);
                         if (!is_ready(host))
                         {
                             announce_self(host);
                         }
                     }),
          make_timer(host, sync.m_lapse_timer,
                     [&host]
                     {
                         if (core::remove_lapsed_entries(
                                 host.m_store_sync->m_target_directory, now()))
                         {
                             host.m_metrics.count_event("target_entry_lapsed");
                         }
                         apply_registered_targets(host);
                     })})
    {
        if (!has_value(created))
        {
            return created;
        }
    }
    sync.m_start_time = now();
    sync.m_watch_check_timer->start(watch_check_interval);
    update_store_role(host);
    return success();
}

} // namespace hawthornspur::serve
