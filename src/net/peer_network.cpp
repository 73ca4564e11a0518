#include "net/peer_network.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "net/datagram_codec.hpp"
#include "net/datagram_socket.hpp"
#include "net/event_loop.hpp"
#include "net/peer_link.hpp"
#include "net/socket_address.hpp"
#include "net/socket_options.hpp"

#include <event2/event.h>
#include <event2/listener.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace hawthornspur::net
{

namespace
{

using link_ptr = std::shared_ptr<peer_link>;

/// Limit of accepted connections in the handshake.
constexpr std::size_t max_handshakes = 256;
constexpr core::duration sweep_interval = std::chrono::seconds(1);
/// Attempts to find a port that is free for both TCP and UDP, if the kernel
/// chooses it.
constexpr int port_attempts = 16;

struct peer
{
    peer_address m_address;
    /// Part of set_peers().
    bool m_is_listed = false;
    link_ptr m_link;
    /// A connection opened by this host, in the handshake.
    link_ptr m_pending_link;
    /// Links opened so far.
    std::uint64_t m_link_count = 0;
    core::duration m_backoff{0};
    std::unique_ptr<timer> m_redial_timer;
};

struct listener_deleter
{
    void operator()(evconnlistener* listener) const noexcept
    {
        evconnlistener_free(listener);
    }
};

} // namespace

struct peer_network::state
{
    event_loop* m_loop = nullptr;
    peer_network_settings m_settings;
    peer_handlers m_handlers;
    peer_link_handlers m_link_handlers;
    peer_counters m_counters;
    std::uint16_t m_port = 0;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    std::optional<datagram_codec> m_datagram_codec;
    std::unique_ptr<datagram_socket> m_datagram_socket;
    std::map<std::string, peer> m_peers;
    /// Accepted connections in the handshake.
    std::map<peer_link*, link_ptr> m_handshakes;
    /// Closed links, freed from the event loop, when none of their callbacks
    /// can be running.
    std::vector<link_ptr> m_retired_links;
    std::unique_ptr<timer> m_cleanup_timer;
    std::unique_ptr<timer> m_sweep_timer;
    std::unique_ptr<timer> m_accept_timer;
    std::mt19937_64 m_random;

    void retire_link(link_ptr link);
    void dial(peer& remote);
    void schedule_dial(std::string const& host);
    void accept(int fd, socket_address const& from);
    bool on_verified(peer_link& link);
    void on_open(peer_link& link);
    void on_message(peer_link const& link, peer_message message) const;
    void on_closed(peer_link& link, link_end const& end);
    void on_datagram(std::string_view bytes, socket_address const& from);
    /// Closes the link of a host.
    void drop_link(std::string const& host, link_end_reason reason);
    void drop_link(std::string const& host, link_end const& end);
    void sweep();
    bool is_allowed(socket_address const& address);
    bool has_link(std::string const& host) const;
    bool is_in_use(std::string const& host) const;
};

bool peer_network::state::is_allowed(socket_address const& address)
{
    if (!m_settings.m_key.empty() || m_settings.m_is_network_trusted ||
        is_loopback(address))
    {
        return true;
    }
    ++m_counters.m_refused_addresses;
    return false;
}

bool peer_network::state::has_link(std::string const& host) const
{
    auto const found = m_peers.find(host);
    return found != m_peers.end() && found->second.m_link != nullptr;
}

bool peer_network::state::is_in_use(std::string const& host) const
{
    return m_handlers.m_is_link_in_use && m_handlers.m_is_link_in_use(host);
}

void peer_network::state::retire_link(link_ptr link)
{
    link->close();
    m_retired_links.push_back(std::move(link));
    m_cleanup_timer->start(core::duration(0));
}

void peer_network::state::dial(peer& remote)
{
    if (!remote.m_is_listed || remote.m_link != nullptr ||
        remote.m_pending_link != nullptr)
    {
        return;
    }
    auto const address =
        parse_address(remote.m_address.m_address, remote.m_address.m_port);
    if (address && is_allowed(*address))
    {
        auto new_link = peer_link::dial(*m_loop, m_settings, m_link_handlers,
                                        m_counters, remote.m_address.m_host,
                                        remote.m_link_count, *address);
        if (has_value(new_link))
        {
            remote.m_pending_link = take(std::move(new_link));
            return;
        }
    }
    ++m_counters.m_failed_dials;
    schedule_dial(remote.m_address.m_host);
}

void peer_network::state::schedule_dial(std::string const& host)
{
    auto const found = m_peers.find(host);
    if (found == m_peers.end() || !found->second.m_is_listed)
    {
        return;
    }
    auto& remote = found->second;
    if (remote.m_redial_timer == nullptr)
    {
        auto new_timer = timer::create(*m_loop,
                                       [this, host]
                                       {
                                           auto const entry =
                                               m_peers.find(host);
                                           if (entry != m_peers.end())
                                           {
                                               dial(entry->second);
                                           }
                                       });
        if (!has_value(new_timer))
        {
            return;
        }
        remote.m_redial_timer = take(std::move(new_timer));
    }
    remote.m_backoff =
        std::clamp(remote.m_backoff * 2, m_settings.m_min_backoff,
                   m_settings.m_max_backoff);
    // Jitter spreads the reconnects of hosts that lost a peer at the same time.
    std::uniform_real_distribution<double> factor(0.5, 1.0);
    remote.m_redial_timer->start(std::chrono::duration_cast<core::duration>(
        remote.m_backoff * factor(m_random)));
}

void peer_network::state::accept(int fd, socket_address const& from)
{
    if (!is_allowed(from) || m_handshakes.size() >= max_handshakes)
    {
        if (m_handshakes.size() >= max_handshakes)
        {
            ++m_counters.m_refused_connections;
        }
        ::close(fd);
        return;
    }
    auto new_link = peer_link::accept(
        *m_loop, m_settings, m_link_handlers, m_counters,
        [this](std::string const& host)
        {
            auto const found = m_peers.find(host);
            return found == m_peers.end() ? 0 : found->second.m_link_count;
        },
        fd);
    if (has_value(new_link))
    {
        link_ptr link = take(std::move(new_link));
        auto* const raw = link.get();
        m_handshakes.emplace(raw, std::move(link));
    }
}

bool peer_network::state::on_verified(peer_link& link)
{
    auto const& host = link.peer().m_host;
    auto& remote = m_peers[host];
    remote.m_address.m_host = host;
    if (remote.m_link != nullptr)
    {
        auto const& existing = *remote.m_link;
        // Both hosts opened a connection at the same time: the peer opened this
        // one before the existing link was established.
        auto const is_simultaneous_open =
            !existing.is_silent() && link.role() != existing.role() &&
            link.peer().m_incarnation == existing.peer().m_incarnation &&
            link.peer().m_earlier_link_count <=
                existing.peer().m_earlier_link_count;
        if (is_simultaneous_open)
        {
            return false;
        }
        // The peer lost the existing link or restarted, which this host has not
        // detected.
        drop_link(host, link_end_reason::replaced);
        if (!link.is_connected())
        {
            return false;
        }
    }
    auto& current = m_peers[host];
    current.m_address.m_host = host;
    if (link.role() == link_role::responder &&
        current.m_pending_link != nullptr)
    {
        // Of two pending connections, both hosts keep the one opened by the
        // host with the lower name.
        if (m_settings.m_host < host && current.m_pending_link->is_connected())
        {
            return false;
        }
        retire_link(std::move(current.m_pending_link));
        current.m_pending_link = nullptr;
    }
    return true;
}

void peer_network::state::on_open(peer_link& link)
{
    auto const host = link.peer().m_host;
    auto& remote = m_peers[host];
    if (link.role() == link_role::initiator)
    {
        remote.m_link = std::move(remote.m_pending_link);
        remote.m_pending_link = nullptr;
    }
    else
    {
        auto const found = m_handshakes.find(&link);
        remote.m_link = std::move(found->second);
        m_handshakes.erase(found);
    }
    ++remote.m_link_count;
    ++m_counters.m_links_opened;
    remote.m_backoff = core::duration(0);
    if (remote.m_redial_timer != nullptr)
    {
        remote.m_redial_timer->stop();
    }
    if (m_handlers.m_on_link_up)
    {
        m_handlers.m_on_link_up(host);
    }
}

void peer_network::state::on_message(peer_link const& link,
                                     peer_message message) const
{
    if (m_handlers.m_on_message)
    {
        diagnostics::activity_scope const scope("peer.message",
                                                message.index());
        // Copied because the handler may close the link.
        auto const host = link.peer().m_host;
        m_handlers.m_on_message(host, std::move(message));
    }
}

void peer_network::state::drop_link(std::string const& host,
                                    link_end_reason reason)
{
    drop_link(host, m_peers[host].m_link->describe_end(reason));
}

void peer_network::state::drop_link(std::string const& host,
                                    link_end const& end)
{
    diagnostics::activity_scope const scope("peer.link_down");
    auto& remote = m_peers[host];
    retire_link(std::move(remote.m_link));
    remote.m_link = nullptr;
    ++m_counters.m_links_lost;
    if (m_handlers.m_on_link_down)
    {
        m_handlers.m_on_link_down(std::string(host), end);
    }
}

void peer_network::state::on_closed(peer_link& link, link_end const& end)
{
    auto const handshake = m_handshakes.find(&link);
    if (handshake != m_handshakes.end())
    {
        auto closed = std::move(handshake->second);
        m_handshakes.erase(handshake);
        retire_link(std::move(closed));
        return;
    }
    for (auto& [host, remote] : m_peers)
    {
        if (remote.m_pending_link.get() == &link)
        {
            ++m_counters.m_failed_dials;
            retire_link(std::move(remote.m_pending_link));
            remote.m_pending_link = nullptr;
            schedule_dial(host);
            return;
        }
        if (remote.m_link.get() == &link)
        {
            auto const name = host;
            drop_link(name, end);
            schedule_dial(name);
            return;
        }
    }
}

void peer_network::state::on_datagram(std::string_view bytes,
                                      socket_address const& from)
{
    ++m_counters.m_datagrams_received;
    m_counters.m_datagram_bytes_received += bytes.size();
    if (!is_allowed(from))
    {
        ++m_counters.m_datagrams_refused;
        return;
    }
    auto message = m_datagram_codec->decode(bytes);
    if (!has_value(message))
    {
        ++m_counters.m_datagrams_refused;
        auto const code = static_cast<unsigned>(failure(message).m_code);
        logging::write(logging::level::warn, "net.peer", "datagram refused",
                       {{"code", std::to_string(code)},
                        {"reason", failure(message).m_message}});
        return;
    }
    if (m_handlers.m_on_datagram)
    {
        m_handlers.m_on_datagram(take(std::move(message)));
    }
}

void peer_network::state::sweep()
{
    auto const now = event_loop::now();
    std::vector<std::string> idle;
    for (auto const& [host, remote] : m_peers)
    {
        // Only the host that opened a link closes it.
        if (!remote.m_is_listed && remote.m_link != nullptr &&
            remote.m_link->role() == link_role::initiator &&
            remote.m_link->queued_bytes() == 0 &&
            now - remote.m_link->last_message_time() >
                m_settings.m_unlisted_link_timeout &&
            !is_in_use(host))
        {
            idle.push_back(host);
        }
    }
    for (auto const& host : idle)
    {
        if (has_link(host))
        {
            drop_link(host, link_end_reason::unlisted);
        }
    }
    std::erase_if(m_peers,
                  [](auto const& entry)
                  {
                      auto const& remote = entry.second;
                      return !remote.m_is_listed && remote.m_link == nullptr &&
                             remote.m_pending_link == nullptr;
                  });
    m_sweep_timer->start(sweep_interval);
}

peer_network::peer_network(std::unique_ptr<state> owned_state)
    : m_state(std::move(owned_state))
{
}

peer_network::~peer_network() = default;

namespace
{

void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* from,
               int length, void* self)
{
    socket_address address;
    auto const size = std::min<std::size_t>(static_cast<std::size_t>(length),
                                            sizeof(address.m_storage));
    std::copy_n(reinterpret_cast<char const*>(from), size,
                reinterpret_cast<char*>(&address.m_storage));
    address.m_length = static_cast<socklen_t>(size);
    static_cast<peer_network::state*>(self)->accept(fd, address);
}

void on_accept_failed(evconnlistener* listener, void* self)
{
    auto& network = *static_cast<peer_network::state*>(self);
    ++network.m_counters.m_accepts_failed;
    evconnlistener_disable(listener);
    network.m_accept_timer->start(accept_pause);
}

error listen_error(peer_network_settings const& settings)
{
    return make_error(result_code::address_unavailable,
                      "cannot listen for peers on " + settings.m_address + ":" +
                          std::to_string(settings.m_port));
}

/// Binds TCP and then UDP to the same port.
status bind(peer_network::state& network,
            socket_address const& requested_address)
{
    auto const attempts = get_port(requested_address) == 0 ? port_attempts : 1;
    for (int i = 0; i < attempts; ++i)
    {
        network.m_listener.reset(evconnlistener_new_bind(
            network.m_loop->base(), on_accept, &network,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            -1, requested_address.get(),
            static_cast<int>(requested_address.m_length)));
        if (network.m_listener == nullptr)
        {
            return listen_error(network.m_settings);
        }
        evconnlistener_set_error_cb(network.m_listener.get(), on_accept_failed);
        auto const bound =
            local_address(evconnlistener_get_fd(network.m_listener.get()));
        if (!bound)
        {
            return listen_error(network.m_settings);
        }
        auto socket = datagram_socket::create(
            *network.m_loop, *bound,
            [&network](std::string_view bytes, socket_address const& from)
            { network.on_datagram(bytes, from); });
        if (has_value(socket))
        {
            network.m_datagram_socket = take(std::move(socket));
            network.m_port = get_port(*bound);
            return success();
        }
    }
    return listen_error(network.m_settings);
}

} // namespace

result<std::unique_ptr<peer_network>>
peer_network::create(event_loop& loop, peer_network_settings settings,
                     peer_handlers handlers)
{
    auto const address = parse_address(settings.m_address, settings.m_port);
    if (!address || settings.m_host.empty())
    {
        return make_error(result_code::settings_invalid,
                          "the peer interface needs a host name and a numeric "
                          "address");
    }
    if (settings.m_key.empty() && !settings.m_is_network_trusted &&
        !is_loopback(*address))
    {
        return make_error(result_code::settings_invalid,
                          "without a peer key only a loopback address is "
                          "allowed for peers");
    }
    auto owned_state = std::make_unique<state>();
    auto& network = *owned_state;
    network.m_loop = &loop;
    network.m_settings = std::move(settings);
    network.m_handlers = std::move(handlers);
    network.m_link_handlers = {
        [&network](peer_link& link) { return network.on_verified(link); },
        [&network](peer_link& link) { network.on_open(link); },
        [&network](peer_link& link, peer_message message)
        { network.on_message(link, std::move(message)); },
        [&network](peer_link& link, link_end const& end)
        { network.on_closed(link, end); },
        [&network](peer_link const& link)
        {
            if (network.m_handlers.m_on_link_silent)
            {
                // Copied because the handler may close the link.
                auto const host = link.peer().m_host;
                network.m_handlers.m_on_link_silent(host);
            }
        },
        [&network](peer_link const& link)
        {
            return network.is_in_use(link.peer().m_host);
        }};
    network.m_datagram_codec.emplace(network.m_settings.m_key);
    network.m_random.seed(std::random_device{}());
    auto cleanup_timer =
        timer::create(loop, [&network] { network.m_retired_links.clear(); });
    auto sweep_timer = timer::create(loop, [&network] { network.sweep(); });
    auto accept_timer = timer::create(
        loop, [&network] { evconnlistener_enable(network.m_listener.get()); });
    if (!has_value(cleanup_timer) || !has_value(sweep_timer) ||
        !has_value(accept_timer))
    {
        return make_error(result_code::system_failure, "cannot create a timer");
    }
    network.m_cleanup_timer = take(std::move(cleanup_timer));
    network.m_sweep_timer = take(std::move(sweep_timer));
    network.m_accept_timer = take(std::move(accept_timer));
    network.m_sweep_timer->start(sweep_interval);
    auto const bound = bind(network, *address);
    if (!has_value(bound))
    {
        return failure(bound);
    }
    return std::unique_ptr<peer_network>(
        new peer_network(std::move(owned_state)));
}

void peer_network::set_peers(std::vector<peer_address> peers)
{
    auto& network = *m_state;
    for (auto& [host, remote] : network.m_peers)
    {
        remote.m_is_listed = false;
    }
    for (auto& address : peers)
    {
        if (address.m_host == network.m_settings.m_host)
        {
            continue;
        }
        auto& remote = network.m_peers[address.m_host];
        remote.m_is_listed = true;
        auto const is_new = remote.m_address.m_address != address.m_address ||
                            remote.m_address.m_port != address.m_port;
        remote.m_address = std::move(address);
        if (is_new && remote.m_pending_link != nullptr)
        {
            network.retire_link(std::move(remote.m_pending_link));
            remote.m_pending_link = nullptr;
        }
        if (is_new || remote.m_redial_timer == nullptr)
        {
            remote.m_backoff = core::duration(0);
            network.dial(remote);
        }
    }
    for (auto& [host, remote] : network.m_peers)
    {
        if (!remote.m_is_listed)
        {
            if (remote.m_pending_link != nullptr)
            {
                network.retire_link(std::move(remote.m_pending_link));
                remote.m_pending_link = nullptr;
            }
            remote.m_redial_timer.reset();
        }
    }
}

status peer_network::send(std::string const& host, peer_message message)
{
    auto const found = m_state->m_peers.find(host);
    if (found == m_state->m_peers.end() || found->second.m_link == nullptr)
    {
        return make_error(result_code::owner_unreachable, "no link to " + host);
    }
    if (!found->second.m_link->send(std::move(message)))
    {
        return make_error(result_code::queue_full,
                          "too many bytes are queued for " + host);
    }
    return success();
}

bool peer_network::is_linked(std::string const& host) const
{
    return m_state->has_link(host);
}

std::vector<std::string> peer_network::linked_hosts() const
{
    std::vector<std::string> names;
    for (auto const& [host, remote] : m_state->m_peers)
    {
        if (remote.m_link != nullptr)
        {
            names.push_back(host);
        }
    }
    return names;
}

std::size_t peer_network::link_count() const noexcept
{
    auto const& peers = m_state->m_peers;
    return static_cast<std::size_t>(std::count_if(
        peers.begin(), peers.end(),
        [](auto const& entry) { return entry.second.m_link != nullptr; }));
}

bool peer_network::is_reachable(std::string const& host) const
{
    return is_linked(host) && !m_state->m_peers.at(host).m_link->is_silent();
}

std::size_t peer_network::queued_bytes(std::string const& host) const
{
    return is_linked(host) ? m_state->m_peers.at(host).m_link->queued_bytes()
                           : 0;
}

std::size_t peer_network::queued_bytes() const
{
    std::size_t bytes = 0;
    for (auto const& [host, remote] : m_state->m_peers)
    {
        bytes += remote.m_link == nullptr ? 0 : remote.m_link->queued_bytes();
    }
    return bytes;
}

void peer_network::send_datagram(std::string const& address, std::uint16_t port,
                                 core::membership_message const& message)
{
    auto const to = parse_address(address, port);
    if (!to || !m_state->is_allowed(*to))
    {
        return;
    }
    auto const bytes = m_state->m_datagram_codec->encode(message);
    if (m_state->m_datagram_socket->send(*to, bytes))
    {
        ++m_state->m_counters.m_datagrams_sent;
        m_state->m_counters.m_datagram_bytes_sent += bytes.size();
    }
}

std::uint16_t peer_network::port() const noexcept
{
    return m_state->m_port;
}

peer_counters const& peer_network::counters() const noexcept
{
    return m_state->m_counters;
}

} // namespace hawthornspur::net
