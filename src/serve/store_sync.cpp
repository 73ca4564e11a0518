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
/// a host that owns no pool uses its targets only after it has become an owner.
constexpr auto owner_change_interval = std::chrono::milliseconds(300);
constexpr auto other_change_interval = std::chrono::milliseconds(1200);

/// A document is in force with the next pass.
constexpr auto document_change_interval = std::chrono::milliseconds(50);

/// Shorter gaps than this cannot have made entries of targets lapse.
constexpr auto shortest_outage = std::chrono::milliseconds(1500);

/// A host that has just read a range finds its peers before it watches: most
/// hosts learn that others watch for them.
constexpr auto settle_time = std::chrono::milliseconds(800);

/// Hosts that do not watch read a copy that may be stale this often, in case
/// that the watchers of their zone are cut off from the store.
constexpr auto resting_interval = std::chrono::seconds(5);

/// In an outage a host tries again this often, well within the time in which a
/// change has to be in force after it.
constexpr auto longest_pause = std::chrono::milliseconds(500);

/// Owners start within this time of each other after all hosts were lost; then
/// a host that found none serves by itself.
constexpr auto longest_search = std::chrono::milliseconds(500);

/// A host that has just become a watcher waits this long for the changes that
/// it missed; a store that takes longer is slow, and its targets are needed.
constexpr auto longest_resumption = std::chrono::milliseconds(300);

void read_feed(entry_host& h, range_watch& feed);

void log_feed(range_watch const& feed, logging::level severity,
              std::string_view message, std::string reason)
{
    logging::write(severity, "serve.store", message,
                   {{"range", feed.m_prefix},
                    {"reason", std::move(reason)},
                    {"revision", std::to_string(feed.m_revision.value_or(0))}});
}

void note_answer(entry_host& h, range_watch& feed)
{
    if (!feed.m_failing_since)
    {
        return;
    }
    auto const outage = now() - *feed.m_failing_since;
    feed.m_failing_since.reset();
    h.m_metrics.count_event("store_regained");
    log_feed(feed, logging::level::info, "store regained", "");
    if (outage >= shortest_outage)
    {
        core::record_registry_recovery(h.m_store_sync->m_directory,
                                       feed.m_last_failed, now());
    }
}

void note_failure(entry_host& h, range_watch& feed, error const& problem)
{
    if (problem.m_code == result_code::history_lost)
    {
        // The store answered, so that an outage is over.
        note_answer(h, feed);
        h.m_metrics.count_event("store_history_lost");
        log_feed(feed, logging::level::info, "store forgot its history", "");
        feed.m_revision.reset();
        feed.m_timer->start(core::duration(0));
        return;
    }
    h.m_metrics.count_event("store_call_failed");
    feed.m_resumed.reset();
    feed.m_last_failed = feed.m_call_sent;
    if (!feed.m_failing_since)
    {
        feed.m_failing_since = now();
        log_feed(feed, logging::level::warn, "store lost", problem.m_message);
    }
    feed.m_timer->start(store_retry_interval);
}

/// The targets changed: the document in force is completed anew.
void apply_targets(entry_host& h)
{
    refresh_targets(h);
    auto const next = core::next_lapsed_removal(h.m_store_sync->m_directory);
    if (next)
    {
        h.m_store_sync->m_drop_timer->start(
            std::max(core::duration(0), *next - now()));
    }
}

void log_target(core::registered_target const& target, std::uint64_t revision)
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

void log_removal(std::string const& name, std::uint64_t revision)
{
    logging::write(logging::level::info, "serve.store", "target entry removed",
                   {{"target", name}, {"revision", std::to_string(revision)}});
}

std::string target_name(entry_host const& h, std::string const& key)
{
    return key.substr(h.m_adapter.m_store_layout->m_target_prefix.size());
}

bool put_entry(entry_host& h, std::string const& key, std::string const& value,
               std::uint64_t revision)
{
    auto target = h.m_adapter.m_store_layout->m_read_target(key, value);
    if (!has_value(target))
    {
        h.m_metrics.count_event("target_entry_unreadable");
        logging::write(logging::level::warn, "serve.store",
                       "target entry not taken",
                       {{"reason", failure(target).m_message},
                        {"revision", std::to_string(revision)}});
        // The bytes name no target any more, whatever stood there before.
        return core::remove_target(h.m_store_sync->m_directory,
                                   target_name(h, key), now());
    }
    auto read = take(std::move(target));
    auto const logged = read;
    bool const is_changed =
        core::put_target(h.m_store_sync->m_directory, std::move(read), now());
    if (is_changed)
    {
        log_target(logged, revision);
    }
    return is_changed;
}

void take_target_snapshot(entry_host& h, platform::stored_range const& range)
{
    std::vector<core::registered_target> targets;
    for (auto const& item : range.m_items)
    {
        auto target =
            h.m_adapter.m_store_layout->m_read_target(item.m_key, item.m_value);
        if (has_value(target))
        {
            targets.push_back(take(std::move(target)));
        }
        else
        {
            h.m_metrics.count_event("target_entry_unreadable");
        }
    }
    logging::write(logging::level::info, "serve.store", "targets read",
                   {{"targets", std::to_string(targets.size())},
                    {"revision", std::to_string(range.m_store_revision)}});
    core::replace_targets(h.m_store_sync->m_directory, std::move(targets),
                          now());
    if (!std::exchange(h.m_store_sync->m_has_read_targets, true))
    {
        h.m_store_sync->m_targets_known = now();
    }
    apply_targets(h);
    announce_self(h);
}

void take_target_changes(entry_host& h, platform::range_changes const& changes)
{
    bool is_changed = false;
    for (auto const& event : changes.m_events)
    {
        if (event.m_value)
        {
            is_changed =
                put_entry(h, event.m_key, *event.m_value, event.m_revision) ||
                is_changed;
            continue;
        }
        auto const name = target_name(h, event.m_key);
        log_removal(name, event.m_revision);
        is_changed =
            core::remove_target(h.m_store_sync->m_directory, name, now()) ||
            is_changed;
    }
    if (is_changed || core::next_lapsed_removal(h.m_store_sync->m_directory))
    {
        apply_targets(h);
    }
}

void take_configuration_value(entry_host& h, std::string const& value)
{
    auto document = h.m_adapter.m_store_layout->m_read_configuration(value);
    if (!has_value(document))
    {
        core::record_rejected_document(h.m_configuration, 0);
        logging::write(logging::level::error, "serve.store",
                       "stored document not taken",
                       {{"reason", failure(document).m_message}});
        return;
    }
    take_operator_document(h, take(std::move(document)));
}

void take_snapshot(entry_host& h, range_watch& feed,
                   platform::stored_range const& range)
{
    if (&feed == &h.m_store_sync->m_targets)
    {
        take_target_snapshot(h, range);
        return;
    }
    for (auto const& item : range.m_items)
    {
        if (item.m_key == h.m_adapter.m_store_layout->m_configuration_key)
        {
            take_configuration_value(h, item.m_value);
        }
    }
}

void take_changes(entry_host& h, range_watch& feed,
                  platform::range_changes const& changes)
{
    if (&feed == &h.m_store_sync->m_targets)
    {
        take_target_changes(h, changes);
        return;
    }
    for (auto const& event : changes.m_events)
    {
        if (event.m_key == h.m_adapter.m_store_layout->m_configuration_key &&
            event.m_value)
        {
            take_configuration_value(h, *event.m_value);
        }
    }
}

core::duration change_interval(entry_host const& h, range_watch const& feed)
{
    if (&feed != &h.m_store_sync->m_targets)
    {
        return document_change_interval;
    }
    bool const is_owner =
        std::any_of(h.m_pools.begin(), h.m_pools.end(),
                    [](auto const& entry) { return entry.second->m_is_owned; });
    return is_owner ? owner_change_interval : other_change_interval;
}

void read_snapshot(entry_host& h, range_watch& feed, platform::freshness wanted)
{
    feed.m_call_sent = now();
    h.m_platform.m_get_range(
        feed.m_prefix, wanted,
        [&h, &feed, wanted](result<platform::stored_range> const& answer)
        {
            begin_pass(h);
            if (!has_value(answer))
            {
                note_failure(h, feed, failure(answer));
                return;
            }
            note_answer(h, feed);
            if (wanted == platform::freshness::latest)
            {
                feed.m_resumed.reset();
            }
            // A stale copy may be older than what the host knows.
            if (value(answer).m_store_revision >= feed.m_revision.value_or(0))
            {
                feed.m_revision = value(answer).m_store_revision;
                take_snapshot(h, feed, value(answer));
            }
            feed.m_is_polling = !is_store_watcher(h);
            feed.m_timer->start(feed.m_is_polling
                                    ? core::duration(resting_interval)
                                    : core::duration(settle_time));
        });
}

void read_feed(entry_host& h, range_watch& feed)
{
    if (!feed.m_revision || feed.m_resumed)
    {
        // A watch that has missed nothing would not answer for long.
        read_snapshot(h, feed, platform::freshness::latest);
        return;
    }
    if (!is_store_watcher(h))
    {
        read_snapshot(h, feed, platform::freshness::may_be_stale);
        return;
    }
    feed.m_is_polling = false;
    h.m_platform.m_watch_range(
        feed.m_prefix, *feed.m_revision, watch_wait,
        [&h, &feed](result<platform::range_changes> const& answer)
        {
            begin_pass(h);
            if (!has_value(answer))
            {
                feed.m_call_sent = now();
                note_failure(h, feed, failure(answer));
                return;
            }
            note_answer(h, feed);
            feed.m_resumed.reset();
            feed.m_revision =
                std::max(*feed.m_revision, value(answer).m_store_revision);
            take_changes(h, feed, value(answer));
            feed.m_is_polling = !is_store_watcher(h);
            if (feed.m_is_polling)
            {
                log_feed(feed, logging::level::info,
                         "store watch left to others", "");
                feed.m_timer->start(resting_interval);
                return;
            }
            feed.m_timer->start(value(answer).m_events.empty()
                                    ? core::duration(0)
                                    : change_interval(h, feed));
        });
}

status make_timer(entry_host& h, std::unique_ptr<net::timer>& out,
                  std::function<void()> action)
{
    auto made = net::timer::create(*h.m_loop,
                                   [&h, action = std::move(action)]
                                   {
                                       begin_pass(h);
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

bool has_target_list(entry_host const& h) noexcept
{
    return h.m_store_sync == nullptr || h.m_store_sync->m_has_read_targets;
}

void resume_store_watches(entry_host& h)
{
    if (h.m_store_sync == nullptr || !is_store_watcher(h))
    {
        return;
    }
    for (auto* feed :
         {&h.m_store_sync->m_configuration, &h.m_store_sync->m_targets})
    {
        if (std::exchange(feed->m_is_polling, false))
        {
            feed->m_resumed = now();
            log_feed(*feed, logging::level::info, "store watch resumed", "");
            feed->m_timer->start(core::duration(0));
        }
    }
}

bool has_found_zone(entry_host const& h)
{
    if (h.m_store_sync == nullptr || h.m_store_sync->m_is_preferred_owner ||
        now() - h.m_store_sync->m_targets_known >= longest_search)
    {
        return true;
    }
    auto const others = core::hosts(*h.m_membership);
    return std::any_of(others.begin(), others.end(),
                       [&](core::host_record const& other)
                       {
                           return other.m_zone == h.m_settings.m_zone &&
                                  other.m_state == core::host_state::live;
                       });
}

bool has_current_target_list(entry_host const& h) noexcept
{
    if (h.m_store_sync == nullptr)
    {
        return true;
    }
    auto const& feed = h.m_store_sync->m_targets;
    return !feed.m_is_polling &&
           (!feed.m_resumed || now() - *feed.m_resumed >= longest_resumption);
}

status start_store_sync(entry_host& h)
{
    h.m_store_sync = std::make_unique<store_sync>();
    auto& follower = *h.m_store_sync;
    platform::call_limiter_settings limits;
    limits.m_calls_per_second = h.m_settings.m_platform_calls_per_second;
    limits.m_burst = h.m_settings.m_platform_calls_per_second;
    limits.m_max_backoff = longest_pause;
    follower.m_limiter = platform::call_limiter::create(
        std::move(h.m_platform), platform::make_loop_scheduler(*h.m_loop),
        limits, h.m_random());
    h.m_platform = follower.m_limiter->calls();
    auto const& layout = *h.m_adapter.m_store_layout;
    follower.m_configuration.m_prefix = layout.m_configuration_prefix;
    follower.m_targets.m_prefix = layout.m_target_prefix;
    for (auto const& made :
         {make_timer(h, follower.m_configuration.m_timer,
                     [&h] { read_feed(h, h.m_store_sync->m_configuration); }),
          make_timer(h, follower.m_targets.m_timer,
                     [&h] { read_feed(h, h.m_store_sync->m_targets); }),
          make_timer(h, follower.m_registration_timer,
                     [&h] { keep_registration(h); }),
          make_timer(h, follower.m_drop_timer,
                     [&h]
                     {
                         if (core::remove_lapsed_entries(
                                 h.m_store_sync->m_directory, now()))
                         {
                             h.m_metrics.count_event("target_entry_lapsed");
                         }
                         apply_targets(h);
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
