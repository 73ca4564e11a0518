#include "serve/peer_driver.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/configuration_proofs.hpp"
#include "serve/crash_reports.hpp"
#include "serve/document_doubt.hpp"
#include "serve/evacuations.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/incoming_forwards.hpp"
#include "serve/leaving_targets.hpp"
#include "serve/membership_driver.hpp"
#include "serve/quotas.hpp"
#include "serve/rate_limits.hpp"
#include "serve/spilling.hpp"
#include "serve/store_sync.hpp"

#include <fstream>
#include <iterator>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Calls the handler of a message.
struct message_visitor
{
    entry_host& m_host;
    std::string const& m_from;

    void operator()(net::forward_request& message) const
    {
        on_forward_request(m_host, m_from, std::move(message));
    }
    void operator()(net::body_chunk const& message) const
    {
        on_body_chunk(m_host, m_from, message);
    }
    void operator()(net::answer_head& message) const
    {
        on_answer_head(m_host, m_from, std::move(message));
    }
    void operator()(net::answer_chunk const& message) const
    {
        on_answer_chunk(m_host, m_from, message);
    }
    void operator()(net::answer_end const& message) const
    {
        on_answer_end(m_host, m_from, message);
    }
    void operator()(net::refusal const& message) const
    {
        on_refusal(m_host, m_from, message);
    }
    void operator()(net::cancel_request const& message) const
    {
        on_cancel_request(m_host, m_from, message);
    }
    void operator()(net::window_update const& message) const
    {
        on_window_update(m_host, m_from, message);
    }
    void operator()(net::pool_summary_message const& message) const
    {
        on_summary_message(m_host, m_from, message);
    }
    void operator()(net::configuration_request const& message) const
    {
        on_configuration_request(m_host, m_from, message);
    }
    void operator()(net::configuration_reply const& message) const
    {
        on_configuration_reply(m_host, message);
    }
    void operator()(net::handover_message const& message) const
    {
        on_handover(m_host, message);
    }
    void operator()(net::target_leaving const& message) const
    {
        on_target_leaving(m_host, message);
    }
    void operator()(net::rate_limits_message const& message) const
    {
        on_rate_limits_message(m_host, message);
    }
    void operator()(net::crash_suspects_message const& message) const
    {
        on_crash_suspects(m_host, message);
    }
    void operator()(net::configuration_proof_request const& message) const
    {
        on_configuration_proof_request(m_host, m_from, message);
    }
    void operator()(net::configuration_proof_message const& message) const
    {
        on_configuration_proof(m_host, m_from, message);
    }
    void operator()(net::evacuated_zones_message const& message) const
    {
        on_evacuated_zones(m_host, m_from, message);
    }
    void operator()(net::quota_request const& message) const
    {
        on_quota_request(m_host, m_from, message);
    }
    void operator()(net::quota_grant const& message) const
    {
        on_quota_grant(m_host, m_from, message);
    }
    void operator()(net::generation_announcement const& message) const
    {
        on_newer_generation(m_host, m_from, message.m_generation);
        if (message.m_newest)
        {
            on_newest_document(m_host, m_from, message);
        }
    }
};

result<std::string> read_peer_key(std::string const& path)
{
    if (path.empty())
    {
        return std::string();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return make_error(result_code::file_unreadable,
                          "cannot read the peer key file " + path);
    }
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    std::string key(trim(text));
    if (key.empty())
    {
        return make_error(result_code::settings_invalid,
                          "the peer key file " + path + " is empty");
    }
    return key;
}

void log_link_down(entry_host const& host, std::string const& peer,
                   net::link_end const& end)
{
    logging::write(
        logging::level::warn, "serve.peers", "link down",
        {{"host", peer},
         {"reason", std::string(net::to_string(end.m_reason))},
         {"silent_ms", milliseconds_text(end.m_silence)},
         {"queued_bytes", std::to_string(end.m_queued_bytes)},
         {"calls_there", std::to_string(count_calls_at(host, peer))},
         {"calls_from_there", std::to_string(count_calls_from(host, peer))}});
}

net::peer_handlers make_handlers(entry_host& host)
{
    return {
        .m_on_message =
            [&host](std::string const& from, net::peer_message message)
        {
            detect_pause(host);
            std::visit(message_visitor{host, from}, message);
        },
        .m_on_link_up =
            [&host](std::string const& peer)
        {
            logging::write(logging::level::info, "serve.peers", "link up",
                           {{"host", peer}});
            announce_generation(host, peer);
            send_crash_suspects(host, peer);
            send_departures(host, peer);
            send_evacuated_zones(host, peer);
            update_store_role(host);
            // Not at once: it replaces the list of peers, and this is
            // called by one of their links.
            schedule_routing_update(host);
        },
        .m_on_link_down =
            [&host](std::string const& peer, net::link_end const& end)
        {
            log_link_down(host, peer, end);
            on_forward_link_down(host, peer);
            on_incoming_link_down(host, peer);
            on_peer_link_lost(host, peer);
            update_store_role(host);
        },
        .m_on_link_silent =
            [&host](std::string const& peer)
        {
            logging::write(
                logging::level::warn, "serve.peers", "link silent",
                {{"host", peer},
                 {"calls_there", std::to_string(count_calls_at(host, peer))},
                 {"calls_from_there",
                  std::to_string(count_calls_from(host, peer))}});
            on_forward_link_silent(host, peer);
            on_peer_link_lost(host, peer);
            update_store_role(host);
        },
        .m_is_link_in_use =
            [&host](std::string const& peer) {
                return count_calls_at(host, peer) > 0 ||
                       count_calls_from(host, peer) > 0;
            },
        .m_on_datagram =
            [&host](core::membership_message const& message)
        {
            on_datagram(host, message);
        }};
}

} // namespace

status open_peer_network(entry_host& host)
{
    auto key = read_peer_key(host.m_settings.m_peer_key_file);
    if (!has_value(key))
    {
        return failure(key);
    }
    net::peer_network_settings settings;
    settings.m_host = host.m_settings.m_name;
    settings.m_incarnation = host.m_incarnation;
    settings.m_address = host.m_settings.m_peers.m_address;
    settings.m_port = host.m_settings.m_peers.m_port;
    settings.m_key = take(std::move(key));
    settings.m_is_network_trusted = host.m_settings.m_is_peer_network_trusted;
    auto network =
        net::peer_network::create(*host.m_loop, settings, make_handlers(host));
    if (!has_value(network))
    {
        return failure(network);
    }
    host.m_peer_network = take(std::move(network));
    return success();
}

} // namespace hawthornspur::serve
