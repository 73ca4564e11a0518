#include "serve/host_registration.hpp"

#include "base/logging.hpp"
#include "core/ownership.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/registration_entry.hpp"
#include "serve/store_sync.hpp"

#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Longer than an outage of a few seconds. Dead hosts are detected by
/// membership and not by the end of their lease.
constexpr auto registration_lifetime = std::chrono::seconds(30);
constexpr auto renewal_interval = std::chrono::seconds(10);

/// Hosts that start together find each other in the first reads. Later reads
/// reconnect hosts after a partition.
constexpr int early_host_read_count = 3;
constexpr auto early_read_interval = std::chrono::milliseconds(550);
constexpr auto host_read_interval = std::chrono::seconds(10);

constexpr std::string_view host_prefix = "hawthornspur/hosts/";

/// Updates whether this host owns the pools of its zone if all listed hosts are
/// live.
void update_preferred_owner(entry_host& host,
                            std::vector<platform::listed_host> const& listed)
{
    auto const& self = core::self(*host.m_membership);
    std::vector candidates{core::to_candidate(self)};
    for (auto const& entry : listed)
    {
        if (entry.m_name != self.m_name)
        {
            candidates.push_back(
                {entry.m_name, entry.m_zone, entry.m_millicores});
        }
    }
    host.m_store_sync->m_is_preferred_owner =
        core::zone_succession(self.m_zone, candidates).front() == self.m_name;
}

void read_hosts(entry_host& host)
{
    auto& sync = *host.m_store_sync;
    // The first read comes after this host has written its own entry and is not
    // stale. Of two hosts that start together, at least one then finds the
    // other, and gossip informs the other one.
    bool const is_first = sync.m_host_read_count == 0;
    sync.m_last_host_read_time = now();
    ++sync.m_host_read_count;
    host.m_platform_calls.m_get_range(
        std::string(host_prefix),
        is_first ? platform::freshness::latest
                 : platform::freshness::may_be_stale,
        [&host](result<platform::stored_range> const& answer)
        {
            detect_pause(host);
            if (!has_value(answer))
            {
                host.m_metrics.count_event("host_list_unavailable");
                return;
            }
            observe_store_epoch(host, value(answer).m_epoch);
            std::vector<platform::listed_host> listed;
            for (auto const& item : value(answer).m_items)
            {
                if (auto entry = parse_registration_entry(item.m_value))
                {
                    listed.push_back(std::move(*entry));
                }
            }
            update_preferred_owner(host, listed);
            on_listed_entry_hosts(host, listed);
            announce_self(host);
        });
}

void write_registration(entry_host& host)
{
    auto& sync = *host.m_store_sync;
    host.m_platform_calls.m_put_leased(
        registration_key(host), format_registration_entry(host), sync.m_lease,
        [&host](result<std::uint64_t> const& written)
        {
            auto& sync = *host.m_store_sync;
            sync.m_is_registered = has_value(written);
            if (!sync.m_is_registered)
            {
                host.m_metrics.count_event("registration_failed");
                sync.m_lease.clear();
                sync.m_registration_timer->start(store_retry_interval);
                return;
            }
            logging::write(logging::level::info, "serve.store",
                           "host registered",
                           {{"lease", sync.m_lease},
                            {"revision", std::to_string(value(written))}});
            read_hosts(host);
            sync.m_registration_timer->start(early_read_interval);
        });
}

void register_with_new_lease(entry_host& host)
{
    host.m_platform_calls.m_create_lease(
        registration_lifetime,
        [&host](result<std::string> const& lease)
        {
            if (!has_value(lease))
            {
                host.m_metrics.count_event("registration_failed");
                host.m_store_sync->m_registration_timer->start(
                    store_retry_interval);
                return;
            }
            host.m_store_sync->m_lease = value(lease);
            write_registration(host);
        });
}

void renew_lease(entry_host& host)
{
    host.m_platform_calls.m_renew_lease(
        host.m_store_sync->m_lease,
        [&host](result<std::monostate> const& renewed)
        {
            if (!has_value(renewed) &&
                failure(renewed).m_code == result_code::not_found)
            {
                logging::write(logging::level::warn, "serve.store",
                               "registration lapsed",
                               {{"lease", host.m_store_sync->m_lease}});
                host.m_store_sync->m_lease.clear();
                host.m_store_sync->m_registration_timer->start(
                    core::duration(0));
            }
        });
}

} // namespace

std::string registration_key(entry_host const& host)
{
    return std::string(host_prefix) + host.m_settings.m_name;
}

void advance_registration(entry_host& host)
{
    auto& sync = *host.m_store_sync;
    if (host.m_stop_stage != stop_stage::running ||
        sync.m_role != core::store_role::watcher)
    {
        // The entry ends with its lease.
        sync.m_lease.clear();
        return;
    }
    if (sync.m_lease.empty())
    {
        register_with_new_lease(host);
        return;
    }
    if (sync.m_host_read_count < early_host_read_count)
    {
        read_hosts(host);
        sync.m_registration_timer->start(early_read_interval);
        return;
    }
    renew_lease(host);
    if (now() - sync.m_last_host_read_time >= host_read_interval)
    {
        read_hosts(host);
    }
    sync.m_registration_timer->start(renewal_interval);
}

} // namespace hawthornspur::serve
