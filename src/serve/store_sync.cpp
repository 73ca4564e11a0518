#include "serve/store_sync.hpp"

#include "base/logging.hpp"
#include "platform/scheduler.hpp"
#include "platform/store_layout.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/host.hpp"
#include "serve/host_registration.hpp"
#include "serve/membership_driver.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Each watch that returns is a call, so they wait long; a silent connection is
/// noticed by its keep-alive, not by the end of the wait.
constexpr auto watch_wait = std::chrono::seconds(25);

/// Changes that come together are read with one call: targets that start write
/// one after the other. Well below the 2 s in which a change has to be known;
/// a host that is_owner no pool uses its targets only after it has become an
/// owner.
constexpr auto owner_change_interval = std::chrono::milliseconds(300);
constexpr auto other_change_interval = std::chrono::milliseconds(1200);

/// A document is in force with the next pass.
constexpr auto document_change_interval = std::chrono::milliseconds(50);

/// Shorter gaps than this cannot have made entries of targets lapse.
constexpr auto min_outage = std::chrono::milliseconds(1500);

/// A host that has just read a range finds its peers before it watches: most
/// hosts learn that others watch for them.
constexpr auto watch_start_delay = std::chrono::milliseconds(800);

/// Hosts that do not watch read a copy that may be stale this often, in case
/// that the watchers of their zone are cut off from the store.
constexpr auto polling_interval = std::chrono::seconds(5);

/// In an outage a host tries again this often, well within the time in which a
/// change has to be in force after it.
constexpr auto max_retry_pause = std::chrono::milliseconds(500);

/// Owners start within this time of each other after all hosts were lost; then
/// a host that found none serves by itself.
constexpr auto max_zone_discovery_time = std::chrono::milliseconds(500);

/// A host that has just become a watcher waits this long for the changes that
/// it missed; a store that takes longer is slow, and its targets are needed.
constexpr auto max_catch_up_time = std::chrono::milliseconds(300);

void read_range(entry_host& host, range_watch& feed);

void log_range(range_watch const& feed, logging::level severity,
               std::string_view message, std::string reason)
{
    logging::write(severity, "serve.store", message,
                   {{"range", feed.m_prefix},
                    {"reason", std::move(reason)},
                    {"revision", std::to_string(feed.m_revision.value_or(0))}});
}

void on_store_answer(entry_host& host, range_watch& feed)
{
    if (!feed.m_failing_since)
    {
        return;
    }
    auto const outage = now() - *feed.m_failing_since;
    feed.m_failing_since.reset();
    host.m_metrics.count_event("store_regained");
    log_range(feed, logging::level::info, "store regained", "");
    if (outage >= min_outage)
    {
        core::record_registry_recovery(host.m_store_sync->m_target_directory,
                                       feed.m_last_failure_time, now());
    }
}

void on_store_failure(entry_host& host, range_watch& feed, error const& problem)
{
    if (problem.m_code == result_code::history_lost)
    {
        // The store answered, so that an outage is over.
        on_store_answer(host, feed);
        host.m_metrics.count_event("store_history_lost");
        log_range(feed, logging::level::info, "store forgot its history", "");
        feed.m_revision.reset();
        feed.m_timer->start(core::duration(0));
        return;
    }
    host.m_metrics.count_event("store_call_failed");
    feed.m_catching_up_since.reset();
    feed.m_last_failure_time = feed.m_call_time;
    if (!feed.m_failing_since)
    {
        feed.m_failing_since = now();
        log_range(feed, logging::level::warn, "store lost", problem.m_message);
    }
    feed.m_timer->start(store_retry_interval);
}

/// The targets changed: the document in force is completed anew.
void apply_targets(entry_host& host)
{
    refresh_targets(host);
    auto const next =
        core::next_lapsed_removal(host.m_store_sync->m_target_directory);
    if (next)
    {
        host.m_store_sync->m_lapse_timer->start(
            std::max(core::duration(0), *next - now()));
    }
}

void log_target_entry(core::registered_target const& target,
                      std::uint64_t revision)
{
    logging::write(
        logging::level::info, "serve.store", "target entry",
        {{"target", target.m_name},
         {"service", target.m_service},
         {"address", target.m_address + ":" + std::to_string(target.m_port)},
         {"state", target.m_state == core::target_state::draining ? "draining"
                                                                  : "active"},
         {"revision", std::to_string(revision)}});
}

void log_target_removal(std::string const& name, std::uint64_t revision)
{
    logging::write(logging::level::info, "serve.store", "target entry removed",
                   {{"target", name}, {"revision", std::to_string(revision)}});
}

std::string target_name(entry_host const& host, std::string const& key)
{
    return key.substr(host.m_adapter.m_store_layout->m_target_prefix.size());
}

bool update_target_entry(entry_host& host, std::string const& key,
                         std::string const& value, std::uint64_t revision)
{
    auto target = host.m_adapter.m_store_layout->m_read_target(key, value);
    if (!has_value(target))
    {
        host.m_metrics.count_event("target_entry_unreadable");
        logging::write(logging::level::warn, "serve.store",
                       "target entry not taken",
                       {{"reason", failure(target).m_message},
                        {"revision", std::to_string(revision)}});
        // The bytes name no target any more, whatever stood there before.
        return core::remove_target(host.m_store_sync->m_target_directory,
                                   target_name(host, key), now());
    }
    auto read = take(std::move(target));
    auto const logged = read;
    bool const is_changed = core::put_target(
        host.m_store_sync->m_target_directory, std::move(read), now());
    if (is_changed)
    {
        log_target_entry(logged, revision);
    }
    return is_changed;
}

void apply_target_snapshot(entry_host& host,
                           platform::stored_range const& range)
{
    std::vector<core::registered_target> targets;
    for (auto const& item : range.m_items)
    {
        auto target = host.m_adapter.m_store_layout->m_read_target(
            item.m_key, item.m_value);
        if (has_value(target))
        {
            targets.push_back(take(std::move(target)));
        }
        else
        {
            host.m_metrics.count_event("target_entry_unreadable");
        }
    }
    logging::write(logging::level::info, "serve.store", "targets read",
                   {{"targets", std::to_string(targets.size())},
                    {"revision", std::to_string(range.m_as_of)}});
    core::replace_targets(host.m_store_sync->m_target_directory,
                          std::move(targets), now());
    if (!std::exchange(host.m_store_sync->m_has_read_targets, true))
    {
        host.m_store_sync->m_targets_read_time = now();
    }
    apply_targets(host);
    announce_self(host);
}

void apply_target_changes(entry_host& host,
                          platform::range_changes const& changes)
{
    bool is_changed = false;
    for (auto const& event : changes.m_events)
    {
        if (event.m_value)
        {
            is_changed = update_target_entry(host, event.m_key, *event.m_value,
                                             event.m_revision) ||
                         is_changed;
            continue;
        }
        auto const name = target_name(host, event.m_key);
        log_target_removal(name, event.m_revision);
        is_changed = core::remove_target(host.m_store_sync->m_target_directory,
                                         name, now()) ||
                     is_changed;
    }
    if (is_changed ||
        core::next_lapsed_removal(host.m_store_sync->m_target_directory))
    {
        apply_targets(host);
    }
}

void apply_configuration_value(entry_host& host, std::string const& value)
{
    auto document = host.m_adapter.m_store_layout->m_read_configuration(value);
    if (!has_value(document))
    {
        core::record_rejected_document(host.m_configuration, 0);
        logging::write(logging::level::error, "serve.store",
                       "stored document not taken",
                       {{"reason", failure(document).m_message}});
        return;
    }
    apply_operator_document(host, take(std::move(document)));
}

void apply_snapshot(entry_host& host, range_watch& feed,
                    platform::stored_range const& range)
{
    if (&feed == &host.m_store_sync->m_targets)
    {
        apply_target_snapshot(host, range);
        return;
    }
    for (auto const& item : range.m_items)
    {
        if (item.m_key == host.m_adapter.m_store_layout->m_configuration_key)
        {
            apply_configuration_value(host, item.m_value);
        }
    }
}

void apply_changes(entry_host& host, range_watch& feed,
                   platform::range_changes const& changes)
{
    if (&feed == &host.m_store_sync->m_targets)
    {
        apply_target_changes(host, changes);
        return;
    }
    for (auto const& event : changes.m_events)
    {
        if (event.m_key == host.m_adapter.m_store_layout->m_configuration_key &&
            event.m_value)
        {
            apply_configuration_value(host, *event.m_value);
        }
    }
}

core::duration change_interval(entry_host const& host, range_watch const& feed)
{
    if (&feed != &host.m_store_sync->m_targets)
    {
        return document_change_interval;
    }
    bool const is_owner =
        std::any_of(host.m_pools.begin(), host.m_pools.end(),
                    [](auto const& entry) { return entry.second->m_is_owned; });
    return is_owner ? owner_change_interval : other_change_interval;
}

void read_snapshot(entry_host& host, range_watch& feed,
                   platform::freshness wanted)
{
    feed.m_call_time = now();
    host.m_platform_calls.m_get_range(
        feed.m_prefix, wanted,
        [&host, &feed, wanted](result<platform::stored_range> const& answer)
        {
            detect_pause(host);
            if (!has_value(answer))
            {
                on_store_failure(host, feed, failure(answer));
                return;
            }
            on_store_answer(host, feed);
            if (wanted == platform::freshness::latest)
            {
                feed.m_catching_up_since.reset();
            }
            // A stale copy may be older than what the host knows.
            if (value(answer).m_as_of >= feed.m_revision.value_or(0))
            {
                feed.m_revision = value(answer).m_as_of;
                apply_snapshot(host, feed, value(answer));
            }
            feed.m_is_polling = !is_store_watcher(host);
            feed.m_timer->start(feed.m_is_polling
                                    ? core::duration(polling_interval)
                                    : core::duration(watch_start_delay));
        });
}

void read_range(entry_host& host, range_watch& feed)
{
    if (!feed.m_revision || feed.m_catching_up_since)
    {
        // A watch that has missed nothing would not answer for long.
        read_snapshot(host, feed, platform::freshness::latest);
        return;
    }
    if (!is_store_watcher(host))
    {
        read_snapshot(host, feed, platform::freshness::may_be_stale);
        return;
    }
    feed.m_is_polling = false;
    host.m_platform_calls.m_watch_range(
        feed.m_prefix, *feed.m_revision, watch_wait,
        [&host, &feed](result<platform::range_changes> const& answer)
        {
            detect_pause(host);
            if (!has_value(answer))
            {
                feed.m_call_time = now();
                on_store_failure(host, feed, failure(answer));
                return;
            }
            on_store_answer(host, feed);
            feed.m_catching_up_since.reset();
            feed.m_revision = std::max(*feed.m_revision, value(answer).m_as_of);
            apply_changes(host, feed, value(answer));
            feed.m_is_polling = !is_store_watcher(host);
            if (feed.m_is_polling)
            {
                log_range(feed, logging::level::info,
                          "store watch left to others", "");
                feed.m_timer->start(polling_interval);
                return;
            }
            feed.m_timer->start(value(answer).m_events.empty()
                                    ? core::duration(0)
                                    : change_interval(host, feed));
        });
}

status make_timer(entry_host& host, std::unique_ptr<net::timer>& out,
                  std::function<void()> action)
{
    auto made = net::timer::create(*host.m_loop,
                                   [&host, action = std::move(action)]
                                   {
                                       detect_pause(host);
                                       action();
                                   });
    if (!has_value(made))
    {
        return failure(made);
    }
    out = take(std::move(made));
    return success();
}

} // namespace

bool has_target_list(entry_host const& host) noexcept
{
    return host.m_store_sync == nullptr ||
           host.m_store_sync->m_has_read_targets;
}

void resume_store_watches(entry_host& host)
{
    if (host.m_store_sync == nullptr || !is_store_watcher(host))
    {
        return;
    }
    for (auto* feed :
         {&host.m_store_sync->m_configuration, &host.m_store_sync->m_targets})
    {
        if (std::exchange(feed->m_is_polling, false))
        {
            feed->m_catching_up_since = now();
            log_range(*feed, logging::level::info, "store watch resumed", "");
            feed->m_timer->start(core::duration(0));
        }
    }
}

bool has_discovered_zone(entry_host const& host)
{
    if (host.m_store_sync == nullptr ||
        host.m_store_sync->m_is_preferred_owner ||
        now() - host.m_store_sync->m_targets_read_time >=
            max_zone_discovery_time)
    {
        return true;
    }
    auto const others = core::hosts(*host.m_membership);
    return std::any_of(others.begin(), others.end(),
                       [&](core::host_record const& other)
                       {
                           return other.m_zone == host.m_settings.m_zone &&
                                  other.m_state == core::host_state::live;
                       });
}

bool has_current_target_list(entry_host const& host) noexcept
{
    if (host.m_store_sync == nullptr)
    {
        return true;
    }
    auto const& feed = host.m_store_sync->m_targets;
    return !feed.m_is_polling &&
           (!feed.m_catching_up_since ||
            now() - *feed.m_catching_up_since >= max_catch_up_time);
}

status start_store_sync(entry_host& host)
{
    host.m_store_sync = std::make_unique<store_sync>();
    auto& follower = *host.m_store_sync;
    platform::call_limiter_settings limits;
    limits.m_calls_per_second = host.m_settings.m_platform_calls_per_second;
    limits.m_burst = host.m_settings.m_platform_calls_per_second;
    limits.m_longest_pause = max_retry_pause;
    follower.m_call_limiter = platform::call_limiter::create(
        std::move(host.m_platform_calls),
        platform::make_loop_scheduler(*host.m_loop), limits, host.m_random());
    host.m_platform_calls = follower.m_call_limiter->calls();
    auto const& layout = *host.m_adapter.m_store_layout;
    follower.m_configuration.m_prefix = layout.m_configuration_prefix;
    follower.m_targets.m_prefix = layout.m_target_prefix;
    for (auto const& made :
         {make_timer(host, follower.m_configuration.m_timer,
                     [&host]
                     { read_range(host, host.m_store_sync->m_configuration); }),
          make_timer(host, follower.m_targets.m_timer,
                     [&host]
                     { read_range(host, host.m_store_sync->m_targets); }),
          make_timer(host, follower.m_registration_timer,
                     [&host] { advance_registration(host); }),
          make_timer(host, follower.m_lapse_timer,
                     [&host]
                     {
                         if (core::remove_lapsed_entries(
                                 host.m_store_sync->m_target_directory, now()))
                         {
                             host.m_metrics.count_event("target_entry_lapsed");
                         }
                         apply_targets(host);
                     })})
    {
        if (!has_value(made))
        {
            return made;
        }
    }
    follower.m_configuration.m_timer->start(core::duration(0));
    follower.m_targets.m_timer->start(core::duration(0));
    follower.m_registration_timer->start(core::duration(0));
    return success();
}

} // namespace hawthornspur::serve
