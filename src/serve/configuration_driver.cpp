#include "serve/configuration_driver.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "config/document.hpp"
#include "config/json_text.hpp"
#include "core/document_source.hpp"
#include "core/ownership.hpp"
#include "platform/call_limiter.hpp"
#include "platform/configuration_store.hpp"
#include "platform/scheduler.hpp"
#include "serve/configuration_sync.hpp"
#include "serve/document_doubt.hpp"
#include "serve/evacuations.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/membership_driver.hpp"
#include "serve/store_sync.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// A silent watch is detected after this time plus the call limiter's time
/// limit for a call, well within the 16 s in which a change must be in force.
constexpr auto watch_wait = std::chrono::seconds(5);

/// Interval at which hosts that do not watch read the head, in case all
/// watchers are cut off from the store.
constexpr auto polling_interval = std::chrono::seconds(10);

constexpr auto retry_interval = std::chrono::seconds(1);

/// Time after which a document that did not arrive is requested from another
/// host. A large document takes a fraction of it on the slowest links.
constexpr auto fetch_timeout = std::chrono::milliseconds(500);

/// Bounds the time for which callers use the address of a lost host. A shorter
/// lifetime costs more, since an address answer costs about as much as a
/// request.
constexpr core::duration max_address_lifetime = std::chrono::seconds(4);

/// Part of the deployment's spare repeats that the hosts use. The rest covers
/// arrivals that no host has decided on, such as copies made by a network.
constexpr double spare_repeats_share = 0.8;

std::string_view to_string(core::configuration_source source)
{
    return source == core::configuration_source::store ? "store" : "peer";
}

void create_once_table(entry_host& host)
{
    core::once_table_settings settings;
    settings.m_home = host.m_settings.m_name;
    settings.m_incarnation = host.m_incarnation;
    settings.m_key_lifetime = host.m_configuration.m_in_force->m_key_lifetime;
    settings.m_max_kept_answer_bytes = limits::max_kept_answer_bytes;
    settings.m_max_keys = host.m_settings.m_max_once_keys;
    host.m_once_table = core::make_once_table(settings, now());
}

void log_document(core::configuration const& document,
                  core::configuration_source source, std::string_view message)
{
    logging::write_process_line(
        logging::level::info, "serve.configuration", message,
        {{"generation", std::to_string(document.m_generation)},
         {"routes", std::to_string(document.m_routes.size())},
         {"change_id", document.m_change_id},
         {"source", std::string(to_string(source))}});
}

/// Adds zones, owner limits and budgets, which the operators' document of this
/// platform does not contain.
void complete_document(entry_host const& host, core::configuration& document)
{
    auto const& bounds = host.m_deployment_bounds;
    document.m_max_owners_per_zone = host.m_settings.m_max_owners_per_zone;
    if (document.m_zones.empty())
    {
        for (auto const& [zone, region] : host.m_settings.m_zones)
        {
            core::zone_config added_zone;
            added_zone.m_name = zone;
            added_zone.m_region = region;
            for (auto const& [other, other_region] : host.m_settings.m_zones)
            {
                if (other != zone)
                {
                    added_zone.m_one_way_delay[other] =
                        host.m_settings.m_zone_delay;
                }
            }
            document.m_zones.push_back(std::move(added_zone));
        }
    }
    if (bounds.m_address_lifetime)
    {
        document.m_address_lifetime =
            std::min(*bounds.m_address_lifetime, max_address_lifetime);
    }
    for (auto& service : document.m_services)
    {
        auto& retries = service.m_retry_budget;
        if (bounds.m_retry_ratio)
        {
            retries.m_ratio = *bounds.m_retry_ratio;
        }
        if (bounds.m_retry_burst)
        {
            retries.m_burst = spare_repeats_share * *bounds.m_retry_burst;
        }
        for (auto& kind : service.m_kinds)
        {
            // These documents declare no shares. Shares derived from service
            // times would be wrong: requests that only test a route take almost
            // no time, so that normal kinds would look slow.
            kind.m_share_declared = true;
        }
        auto& probes = service.m_probe_budget;
        if (bounds.m_probes_per_second)
        {
            probes.m_cost_per_second =
                std::chrono::duration_cast<core::duration>(
                    *bounds.m_probes_per_second *
                    (probes.m_probe_cost + probes.m_connection_cost));
        }
    }
}

/// Requests need keys if they did before, and an entry that cannot be read may
/// be that of the customers.
void keep_need_of_keys(entry_host const& host, core::configuration& document)
{
    auto const& in_force = host.m_configuration.m_in_force;
    if (document.m_may_need_keys && in_force != nullptr &&
        in_force->m_customers != nullptr)
    {
        document.m_customers = core::make_customer_table({}, {{}, true});
    }
}

/// Reports the entries of a document that has come in force without them.
void report_left_out_entries(entry_host& host,
                             core::configuration const& document)
{
    constexpr std::size_t max_lines = 20;
    auto const& entries = document.m_left_out;
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        host.m_metrics.count_event("entry_left_out");
        if (i < max_lines)
        {
            logging::write(
                logging::level::warn, "serve.configuration", "entry left out",
                {{"generation", std::to_string(document.m_generation)},
                 {"kind", entries[i].m_kind},
                 {"name", entries[i].m_name},
                 {"reason", entries[i].m_reason},
                 {"entries", std::to_string(entries.size())}});
        }
    }
}

/// Whether the document in force came from another text of the same generation,
/// which operators are not to write.
bool is_other_text(entry_host const& host, std::string const& text)
{
    return !text.empty() &&
           text != host.m_configuration_sync->m_peer_document_text;
}

/// `text` is the document as peers receive it; empty if it is to be printed.
core::offer_result apply_document(entry_host& host,
                                  core::configuration document,
                                  core::configuration_source source,
                                  std::string const& text = {})
{
    diagnostics::activity_scope const scope("configuration.apply",
                                            document.m_generation);
    if (host.m_store_sync != nullptr)
    {
        complete_document(host, document);
    }
    keep_need_of_keys(host, document);
    auto const evacuation = evacuation_under(host, document);
    if (host.m_store_sync != nullptr && has_target_list(host))
    {
        document = core::with_registered_targets(
            document, host.m_store_sync->m_target_directory, evacuation);
    }
    else
    {
        core::mark_evacuated_targets(document, evacuation.m_decision.m_zones);
    }
    auto shared =
        std::make_shared<core::configuration const>(std::move(document));
    auto use = core::offer(host.m_configuration, shared, source);
    if (use == core::offer_result::same && is_other_text(host, text))
    {
        use = core::offer_result::conflicting;
    }
    switch (use)
    {
    case core::offer_result::in_force:
        break;
    case core::offer_result::conflicting:
        log_document(*shared, source,
                     "document rejected: same generation, other change id");
        host.m_metrics.count_event("configuration_conflicting");
        return use;
    case core::offer_result::stale:
        host.m_metrics.count_event("configuration_stale");
        return use;
    case core::offer_result::same:
        return use;
    }
    auto& sync = *host.m_configuration_sync;
    sync.m_peer_document_text = text;
    sync.m_in_force_since = now();
    sync.m_last_rejection_reason.clear();
    log_document(*shared, source, "configuration in force");
    host.m_metrics.count_event("configuration_in_force");
    report_left_out_entries(host, *shared);
    update_evacuations(host);
    core::remove_missing_routes(host.m_part_selector, *shared);
    if (host.m_once_table == nullptr)
    {
        create_once_table(host);
    }
    host.m_caller_server->set_idle_timeout(
        host.m_configuration.m_in_force->m_caller_idle_timeout);
    core::set_key_lifetime(*host.m_once_table,
                           host.m_configuration.m_in_force->m_key_lifetime,
                           now());
    announce_self(host);
    announce_to_zone(host, announcement_scope::outdated);
    on_generation_in_force(host);
    return use;
}

bool is_configuration_watcher(entry_host const& host)
{
    std::vector<core::owner_candidate> candidates;
    for (auto const& record : host.m_routing.m_hosts)
    {
        if (record.m_state == core::host_state::live)
        {
            candidates.push_back(core::to_candidate(record));
        }
    }
    return core::is_watcher(host.m_settings.m_name, host.m_settings.m_zone,
                            candidates);
}

void read_configuration(entry_host& host);

void schedule_read(entry_host& host, core::duration delay)
{
    host.m_configuration_sync->m_timer->start(delay);
}

/// Handles an answer of the store in the own document format. Its reads follow
/// one another, so that their number is the position of what they show.
void record_own_read(entry_host& host,
                     result<platform::loaded_configuration> const& loaded,
                     std::optional<core::offer_result> use)
{
    auto& sync = *host.m_configuration_sync;
    auto const code =
        has_value(loaded) ? result_code::ok : failure(loaded).m_code;
    // A watch ends with not_found if nothing has changed.
    bool const is_removed = code == result_code::not_found &&
                            !sync.m_is_watching &&
                            host.m_configuration.m_in_force != nullptr;
    if (has_value(loaded) || is_removed ||
        code == result_code::store_answer_malformed)
    {
        record_document_read(
            host, {{0, ++sync.m_read_count}, sync.m_read_time, use},
            has_value(loaded) ? std::string() : failure(loaded).m_message);
    }
}

void on_loaded(entry_host& host,
               result<platform::loaded_configuration> const& loaded)
{
    auto& sync = *host.m_configuration_sync;
    sync.m_is_head_unconfirmed = !has_value(loaded);
    std::optional<core::offer_result> use;
    if (has_value(loaded))
    {
        sync.m_head_revision = value(loaded).m_head_revision;
        use = apply_document(host, value(loaded).m_document,
                             core::configuration_source::store);
    }
    else if (failure(loaded).m_code == result_code::store_answer_malformed)
    {
        report_rejected_document(host, failure(loaded).m_message);
    }
    record_own_read(host, loaded, use);
    bool const is_not_found =
        !has_value(loaded) && failure(loaded).m_code == result_code::not_found;
    if (!has_value(loaded) && !is_not_found)
    {
        host.m_metrics.count_event("store_unavailable");
        schedule_read(host, retry_interval);
        return;
    }
    if (host.m_configuration.m_in_force == nullptr)
    {
        schedule_read(host, retry_interval);
    }
    else
    {
        schedule_read(host, is_configuration_watcher(host)
                                ? core::duration(0)
                                : core::duration(polling_interval));
    }
}

void reject_peer_document(entry_host& host,
                          net::configuration_reply const& reply,
                          std::string const& reason)
{
    core::record_rejected_document(host.m_configuration, reply.m_generation);
    logging::write(logging::level::error, "serve.configuration",
                   "document of a peer rejected",
                   {{"generation", std::to_string(reply.m_generation)},
                    {"reason", reason}});
}

void read_configuration(entry_host& host)
{
    auto on_result =
        [&host](result<platform::loaded_configuration> const& loaded)
    {
        on_loaded(host, loaded);
    };
    auto& sync = *host.m_configuration_sync;
    sync.m_read_time = now();
    sync.m_is_watching = host.m_configuration.m_in_force != nullptr &&
                         !sync.m_is_head_unconfirmed &&
                         is_configuration_watcher(host);
    if (sync.m_is_watching)
    {
        sync.m_store->watch(sync.m_head_revision, watch_wait, on_result);
    }
    else
    {
        sync.m_store->load(on_result);
    }
}

} // namespace

std::uint64_t generation_in_force(entry_host const& host) noexcept
{
    auto const& document = host.m_configuration.m_in_force;
    return document == nullptr ? 0 : document->m_generation;
}

void announce_to_zone(entry_host& host, announcement_scope scope)
{
    for (auto const& other : core::hosts(*host.m_membership))
    {
        if (other.m_zone == host.m_settings.m_zone &&
            (scope == announcement_scope::all ||
             other.m_generation < generation_in_force(host)) &&
            host.m_peer_network->is_linked(other.m_name))
        {
            announce_generation(host, other.m_name);
        }
    }
}

void report_rejected_document(entry_host& host, std::string const& reason)
{
    auto& last_reason = host.m_configuration_sync->m_last_rejection_reason;
    if (last_reason == reason)
    {
        return;
    }
    last_reason = reason;
    core::record_rejected_document(host.m_configuration, 0);
    logging::write(logging::level::error, "serve.configuration",
                   "stored document not taken", {{"reason", reason}});
}

status start_configuration_sync(entry_host& host)
{
    auto timer =
        net::timer::create(*host.m_loop, [&host] { read_configuration(host); });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    host.m_configuration_sync = std::make_unique<configuration_sync>();
    if (host.m_adapter.m_store_layout)
    {
        return start_store_sync(host);
    }
    platform::call_limiter_settings limits;
    limits.m_calls_per_second = host.m_settings.m_platform_calls_per_second;
    auto& sync = *host.m_configuration_sync;
    sync.m_timer = take(std::move(timer));
    sync.m_call_limiter = platform::call_limiter::create(
        std::move(host.m_platform_calls),
        platform::make_loop_scheduler(*host.m_loop), limits, host.m_random());
    host.m_platform_calls = sync.m_call_limiter->calls();
    sync.m_store =
        platform::configuration_store::create(host.m_platform_calls, {});
    sync.m_timer->start(core::duration(0));
    return success();
}

result<core::offer_result>
apply_operator_document(entry_host& host, std::string const& text,
                        core::configuration_source source)
{
    diagnostics::activity_scope const scope("configuration.read");
    auto document = host.m_adapter.m_store_layout->m_read_configuration(text);
    if (!has_value(document))
    {
        return failure(document);
    }
    return apply_document(host, take(std::move(document)), source, text);
}

void refresh_targets(entry_host& host)
{
    auto& in_force = host.m_configuration.m_in_force;
    if (in_force == nullptr)
    {
        return;
    }
    in_force = std::make_shared<core::configuration const>(
        core::with_registered_targets(*in_force,
                                      host.m_store_sync->m_target_directory,
                                      host.m_evacuation.m_in_force));
    update_routing(host);
}

void on_newer_generation(entry_host& host, std::string const& peer,
                         std::uint64_t generation)
{
    auto& sync = *host.m_configuration_sync;
    bool const is_fetching = now() - sync.m_request_time < fetch_timeout &&
                             generation <= sync.m_requested_generation;
    if (!core::record_announced_generation(host.m_configuration, generation) ||
        is_fetching)
    {
        return;
    }
    if (generation != sync.m_requested_generation)
    {
        sync.m_requests = 0;
    }
    auto const source = core::choose_document_source(
        peer, generation, core::hosts(*host.m_membership),
        [&](std::string const& name)
        { return host.m_peer_network->is_reachable(name); },
        sync.m_requests);
    if (source.empty() ||
        !has_value(host.m_peer_network->send(
            source, net::configuration_request{generation_in_force(host)})))
    {
        return;
    }
    sync.m_request_time = now();
    sync.m_requested_generation = generation;
    ++sync.m_requests;
}

void announce_generation(entry_host& host, std::string const& peer)
{
    auto const generation = generation_in_force(host);
    if (generation > 0 || is_document_in_doubt(host))
    {
        net::generation_announcement message{generation};
        add_newest_document(host, message);
        static_cast<void>(host.m_peer_network->send(peer, message));
    }
}

void on_configuration_request(entry_host& host, std::string const& from,
                              net::configuration_request const& request)
{
    auto& sync = *host.m_configuration_sync;
    auto const generation = generation_in_force(host);
    if (generation <= request.m_generation)
    {
        return;
    }
    if (sync.m_peer_document_text.empty())
    {
        sync.m_peer_document_text =
            config::print_document(*host.m_configuration.m_in_force);
    }
    if (sync.m_peer_document_text.size() > config::max_text_bytes)
    {
        // Two of them on the way would exceed what a link accepts and break it.
        // The other host reads the store.
        host.m_metrics.count_event("document_too_large_for_peers");
        return;
    }
    static_cast<void>(host.m_peer_network->send(
        from, net::configuration_reply{generation, sync.m_peer_document_text}));
}

void on_configuration_reply(entry_host& host,
                            net::configuration_reply const& reply)
{
    if (host.m_store_sync != nullptr)
    {
        auto const applied = apply_operator_document(
            host, reply.m_document, core::configuration_source::peer);
        if (!has_value(applied))
        {
            reject_peer_document(host, reply, failure(applied).m_message);
            read_configuration_now(host);
        }
        return;
    }
    auto parsed = config::parse_document(reply.m_document);
    if (auto const* faults = std::get_if<config::fault_list>(&parsed))
    {
        reject_peer_document(host, reply, config::describe(*faults));
        // The next read of the store shows whether it is the newest one.
        record_document_read(
            host,
            {{0, host.m_configuration_sync->m_read_count}, now(), std::nullopt},
            "the document of another host cannot be read");
        return;
    }
    auto& document = std::get<core::configuration>(parsed);
    host.m_configuration_sync->m_store->cache_parts(document);
    apply_document(host, std::move(document), core::configuration_source::peer);
}

} // namespace hawthornspur::serve
