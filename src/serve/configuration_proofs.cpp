#include "serve/configuration_proofs.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/ownership.hpp"
#include "core/routing.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/document_doubt.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"
#include "serve/start_queue.hpp"
#include "serve/store_sync.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Interval at which a host with waiting calls checks whether to ask the next
/// host, or to refuse them.
constexpr auto held_call_interval = std::chrono::milliseconds(10);

/// Shortest retry delay for a call that is refused for lack of a proof. Another
/// host of the zone would ask the same hosts.
constexpr auto min_retry_delay = std::chrono::milliseconds(100);

/// Highest age that receivers accept.
constexpr auto max_sent_age = std::chrono::hours(24);

/// Time after which a withdrawn key must not be used; nothing if this host is
/// not to prove its configuration. Only a store with ranges can confirm it; no
/// platform without one sets the bound.
std::optional<core::duration> effective_bound(entry_host const& host)
{
    auto const& document = host.m_configuration.m_in_force;
    bool const has_keys =
        document != nullptr && document->m_customers != nullptr;
    return has_keys && host.m_store_sync != nullptr
               ? host.m_deployment_bounds.m_revocation_bound
               : std::nullopt;
}

bool is_fresh(entry_host const& host, core::duration bound)
{
    return !is_document_in_doubt(host) &&
           core::is_fresh(host.m_configuration_proofs->m_proof,
                          host.m_configuration.m_in_force->m_generation, now(),
                          bound);
}

/// The first host among those that own the pools of a zone; empty without one.
std::string find_confirming_host(entry_host& host, std::string const& zone)
{
    auto const owners = core::zone_hosts(
        host.m_routing, *host.m_configuration.m_in_force, zone);
    return owners.empty() ? std::string() : owners.front();
}

/// The hosts to ask for a confirmation: those that confirm for a zone, the own
/// one first.
std::vector<std::string> list_confirming_peers(entry_host& host)
{
    std::vector<std::string> peers;
    for (auto const& zone : core::nearest_zones(
             *host.m_configuration.m_in_force, host.m_settings.m_zone))
    {
        auto name = find_confirming_host(host, zone);
        if (!name.empty() && name != host.m_settings.m_name &&
            host.m_peer_network->is_reachable(name) &&
            std::find(peers.begin(), peers.end(), name) == peers.end())
        {
            peers.push_back(std::move(name));
        }
    }
    return peers;
}

void report_lost_proof(entry_host& host)
{
    auto& proofs = *host.m_configuration_proofs;
    if (std::exchange(proofs.m_is_lost, true))
    {
        return;
    }
    host.m_metrics.count_event("configuration_proof_expired");
    auto const age = core::proof_age(proofs.m_proof, now());
    logging::write(
        logging::level::warn, "serve.proofs",
        "configuration not confirmed, access keys are refused",
        {{"age_ms", age ? milliseconds_text(*age) : std::string("none")},
         {"confirmed_generation", std::to_string(proofs.m_proof.m_generation)},
         {"generation",
          std::to_string(host.m_configuration.m_in_force->m_generation)}});
}

/// Handles a newer confirmation: continues the calls that wait for it.
void on_proof_renewed(entry_host& host, std::string const& source)
{
    auto& proofs = *host.m_configuration_proofs;
    auto const bound = effective_bound(host);
    if (!bound)
    {
        return;
    }
    host.m_metrics.count_event("configuration_proof_renewed");
    if (!is_fresh(host, *bound))
    {
        return;
    }
    if (std::exchange(proofs.m_is_lost, false))
    {
        logging::write(
            logging::level::info, "serve.proofs",
            "configuration confirmed again",
            {{"source", source},
             {"generation", std::to_string(proofs.m_proof.m_generation)}});
    }
    if (holds_call_for_proof(host))
    {
        release_held_calls(host);
    }
}

/// Reports the loss of a proof that this host kept fresh for its zone.
void check_zone_proof(entry_host& host, bool confirms_for_zone,
                      core::duration bound)
{
    auto& proofs = *host.m_configuration_proofs;
    bool const has_confirmed = confirms_for_zone && is_fresh(host, bound);
    bool const had_confirmed =
        std::exchange(proofs.m_has_confirmed_for_zone, has_confirmed);
    if (confirms_for_zone && had_confirmed && !has_confirmed)
    {
        report_lost_proof(host);
    }
}

void request_confirmations(entry_host& host, core::duration bound)
{
    auto& proofs = *host.m_configuration_proofs;
    bool const confirms_for_zone =
        can_confirm_by_watch(host) &&
        find_confirming_host(host, host.m_settings.m_zone) ==
            host.m_settings.m_name;
    check_zone_proof(host, confirms_for_zone, bound);
    core::proof_inputs inputs{host.m_configuration.m_in_force->m_generation,
                              now(),
                              bound,
                              confirms_for_zone,
                              {}};
    std::vector<std::string> peers;
    if (core::is_peer_turn_due(proofs.m_schedule, proofs.m_proof, inputs))
    {
        peers = list_confirming_peers(host);
        inputs.m_peers = peers;
    }
    auto const step =
        core::next_proof_step(proofs.m_schedule, proofs.m_proof, inputs);
    if (!step.m_peer.empty())
    {
        static_cast<void>(host.m_peer_network->send(
            step.m_peer, net::configuration_proof_request{step.m_question}));
    }
    if (step.m_asks_store)
    {
        confirm_operator_range(host);
    }
}

void start_wait_timer(entry_host& host)
{
    auto& proofs = *host.m_configuration_proofs;
    // Each request would put the timer off.
    if (!std::exchange(proofs.m_is_timer_started, true))
    {
        proofs.m_timer->start(held_call_interval);
    }
}

/// Asks the next host while calls wait, and refuses those that waited for too
/// long. The document that the confirmation is about may have arrived.
void serve_waiting_calls(entry_host& host)
{
    host.m_configuration_proofs->m_is_timer_started = false;
    detect_pause(host);
    expire_held_calls(host);
    if (!holds_call_for_proof(host))
    {
        return;
    }
    if (is_configuration_proved(host))
    {
        release_held_calls(host);
    }
}

} // namespace

status start_configuration_proofs(entry_host& host)
{
    host.m_configuration_proofs = std::make_unique<configuration_proofs>();
    auto timer = net::timer::create(*host.m_loop,
                                    [&host] { serve_waiting_calls(host); });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    host.m_configuration_proofs->m_timer = take(std::move(timer));
    return success();
}

bool is_configuration_proved(entry_host& host)
{
    auto const bound = effective_bound(host);
    if (!bound)
    {
        bool const is_in_doubt = is_document_in_doubt(host);
        if (is_in_doubt)
        {
            start_wait_timer(host);
        }
        return !is_in_doubt;
    }
    auto& proofs = *host.m_configuration_proofs;
    core::record_proof_demand(proofs.m_schedule, now());
    if (is_fresh(host, *bound))
    {
        return true;
    }
    request_confirmations(host, *bound);
    start_wait_timer(host);
    return false;
}

void maintain_configuration_proof(entry_host& host)
{
    if (auto const bound = effective_bound(host))
    {
        request_confirmations(host, *bound);
    }
}

void confirm_configuration(entry_host& host, core::time_point asked)
{
    auto const& document = host.m_configuration.m_in_force;
    if (document != nullptr && !is_document_in_doubt(host) &&
        core::record_store_confirmation(host.m_configuration_proofs->m_proof,
                                        asked, document->m_generation))
    {
        on_proof_renewed(host, "store");
    }
}

void refuse_unconfirmed_call(entry_host& host, active_call& call)
{
    if (is_document_in_doubt(host))
    {
        call.m_retry_after = unreadable_document_retry_delay;
    }
    else
    {
        report_lost_proof(host);
        auto const bound = effective_bound(host).value_or(core::duration(0));
        call.m_retry_after = std::max<core::duration>(
            min_retry_delay,
            core::until_next_question(host.m_configuration_proofs->m_schedule,
                                      now(), bound));
    }
    fail_call(host, call, result_code::access_keys_unconfirmed);
}

std::optional<core::duration> configuration_proof_age(entry_host const& host)
{
    return effective_bound(host)
               ? core::proof_age(host.m_configuration_proofs->m_proof, now())
               : std::nullopt;
}

void on_configuration_proof_request(
    entry_host& host, std::string const& from,
    net::configuration_proof_request const& message)
{
    auto& proofs = *host.m_configuration_proofs;
    core::record_proof_demand(proofs.m_schedule, now());
    if (is_document_in_doubt(host))
    {
        announce_generation(host, from);
        return;
    }
    auto const bound = effective_bound(host);
    auto const age = core::proof_age(proofs.m_proof, now());
    if (bound && age && *age < std::min<core::duration>(*bound, max_sent_age))
    {
        static_cast<void>(host.m_peer_network->send(
            from, net::configuration_proof_message{
                      message.m_number, proofs.m_proof.m_generation, *age}));
    }
}

void on_configuration_proof(entry_host& host, std::string const& from,
                            net::configuration_proof_message const& message)
{
    auto& proofs = *host.m_configuration_proofs;
    auto const asked = core::take_question(proofs.m_schedule, message.m_number);
    if (!asked)
    {
        return;
    }
    on_document_confirmed(host, *asked - message.m_age, message.m_generation);
    if (is_document_in_doubt(host))
    {
        // An older confirmation than the doubt would keep this host from asking
        // for a newer one.
        on_newer_generation(host, from, message.m_generation);
        return;
    }
    bool const is_renewed = core::record_peer_confirmation(
        proofs.m_proof, *asked, message.m_age, message.m_generation);
    on_newer_generation(host, from, message.m_generation);
    if (is_renewed)
    {
        on_proof_renewed(host, from);
    }
}

} // namespace hawthornspur::serve
