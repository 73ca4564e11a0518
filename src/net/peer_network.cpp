#include "net/peer_network.hpp"

#include "base/logging.hpp"
#include "net/datagram_codec.hpp"
#include "net/datagram_socket.hpp"
#include "net/event_loop.hpp"
#include "net/peer_link.hpp"
#include "net/socket_address.hpp"

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

/// Accepted connections that have not proved themselves.
constexpr std::size_t max_handshakes = 256;
constexpr core::duration sweep_interval = std::chrono::seconds(1);
/// Attempts to find a port that is free for both TCP and UDP.
constexpr int port_attempts = 16;

struct peer
{
    peer_address m_address;
    bool m_wanted = false;
    link_ptr m_link;
    link_ptr m_dial;
    std::uint64_t m_links = 0;
    core::duration m_backoff{0};
    std::unique_ptr<timer> m_redial;
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
    std::optional<datagram_codec> m_codec;
    std::unique_ptr<datagram_socket> m_datagrams;
    std::map<std::string, peer> m_peers;
    /// Accepted connections before m_on_verified.
    std::map<peer_link*, link_ptr> m_handshakes;
    /// Closed links, freed when no callback of theirs can be running.
    std::vector<link_ptr> m_retired;
    std::unique_ptr<timer> m_reaper;
    std::unique_ptr<timer> m_sweeper;
    std::mt19937_64 m_random;

    void retire(link_ptr link);
    void dial(peer& p);
    void dial_later(std::string const& host);
    void accept(int fd, socket_address const& from);
    bool on_verified(peer_link& link);
    void on_open(peer_link& link);
    void on_message(peer_link const& link, peer_message message) const;
    void on_closed(peer_link& link);
    void on_datagram(std::string_view bytes, socket_address const& from);
    void drop_link(std::string const& host);
    void sweep();
    bool is_allowed(socket_address const& address);
    bool has_link(std::string const& host) const;
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

void peer_network::state::retire(link_ptr link)
{
    link->close();
    m_retired.push_back(std::move(link));
    m_reaper->start(core::duration(0));
}

void peer_network::state::dial(peer& p)
{
    if (!p.m_wanted || p.m_link != nullptr || p.m_dial != nullptr)
    {
        return;
    }
    auto const address =
        parse_address(p.m_address.m_address, p.m_address.m_port);
    if (address && is_allowed(*address))
    {
        auto made =
            peer_link::dial(*m_loop, m_settings, m_link_handlers, m_counters,
                            p.m_address.m_host, p.m_links, *address);
        if (has_value(made))
        {
            p.m_dial = take(std::move(made));
            return;
        }
    }
    ++m_counters.m_failed_dials;
    dial_later(p.m_address.m_host);
}

void peer_network::state::dial_later(std::string const& host)
{
    auto const found = m_peers.find(host);
    if (found == m_peers.end() || !found->second.m_wanted)
    {
        return;
    }
    auto& p = found->second;
    if (p.m_redial == nullptr)
    {
        auto made = timer::create(*m_loop,
                                  [this, host]
                                  {
                                      auto const entry = m_peers.find(host);
                                      if (entry != m_peers.end())
                                      {
                                          dial(entry->second);
                                      }
                                  });
        if (!has_value(made))
        {
            return;
        }
        p.m_redial = take(std::move(made));
    }
    p.m_backoff = std::clamp(p.m_backoff * 2, m_settings.m_min_backoff,
                             m_settings.m_max_backoff);
    // Jitter keeps the hosts that lost a peer together from coming back
    // together.
    std::uniform_real_distribution<double> factor(0.5, 1.0);
    p.m_redial->start(std::chrono::duration_cast<core::duration>(
        p.m_backoff * factor(m_random)));
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
    auto made = peer_link::accept(
        *m_loop, m_settings, m_link_handlers, m_counters,
        [this](std::string const& host)
        {
            auto const found = m_peers.find(host);
            return found == m_peers.end() ? 0 : found->second.m_links;
        },
        fd);
    if (has_value(made))
    {
        link_ptr link = take(std::move(made));
        auto* const raw = link.get();
        m_handshakes.emplace(raw, std::move(link));
    }
}

bool peer_network::state::on_verified(peer_link& link)
{
    auto const& host = link.peer().m_host;
    auto& p = m_peers[host];
    p.m_address.m_host = host;
    if (p.m_link != nullptr)
    {
        auto const& old = *p.m_link;
        // Both hosts opened a connection at the same time: the peer opened
        // this one before it knew of the other link.
        auto const crossed =
            link.role() != old.role() &&
            link.peer().m_incarnation == old.peer().m_incarnation &&
            link.peer().m_earlier_links <= old.peer().m_earlier_links;
        if (crossed)
        {
            return false;
        }
        // The peer lost the old link or restarted, which this host has not
        // noticed.
        drop_link(host);
        if (!link.is_connected())
        {
            return false;
        }
    }
    auto& current = m_peers[host];
    current.m_address.m_host = host;
    if (link.role() == link_role::responder && current.m_dial != nullptr)
    {
        // Of two connections that are being opened, the one opened by the
        // host with the lower name stays, on both sides.
        if (m_settings.m_host < host && current.m_dial->is_connected())
        {
            return false;
        }
        retire(std::move(current.m_dial));
        current.m_dial = nullptr;
    }
    return true;
}

void peer_network::state::on_open(peer_link& link)
{
    auto const host = link.peer().m_host;
    auto& p = m_peers[host];
    if (link.role() == link_role::initiator)
    {
        p.m_link = std::move(p.m_dial);
        p.m_dial = nullptr;
    }
    else
    {
        auto const found = m_handshakes.find(&link);
        p.m_link = std::move(found->second);
        m_handshakes.erase(found);
    }
    ++p.m_links;
    ++m_counters.m_links_opened;
    p.m_backoff = core::duration(0);
    if (p.m_redial != nullptr)
    {
        p.m_redial->stop();
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
        // A copy, since the handler may close the link.
        auto const host = link.peer().m_host;
        m_handlers.m_on_message(host, std::move(message));
    }
}

void peer_network::state::drop_link(std::string const& host)
{
    auto& p = m_peers[host];
    retire(std::move(p.m_link));
    p.m_link = nullptr;
    ++m_counters.m_links_lost;
    if (m_handlers.m_on_link_down)
    {
        m_handlers.m_on_link_down(std::string(host));
    }
}

void peer_network::state::on_closed(peer_link& link)
{
    auto const handshake = m_handshakes.find(&link);
    if (handshake != m_handshakes.end())
    {
        auto closed = std::move(handshake->second);
        m_handshakes.erase(handshake);
        retire(std::move(closed));
        return;
    }
    for (auto& [host, p] : m_peers)
    {
        if (p.m_dial.get() == &link)
        {
            ++m_counters.m_failed_dials;
            retire(std::move(p.m_dial));
            p.m_dial = nullptr;
            dial_later(host);
            return;
        }
        if (p.m_link.get() == &link)
        {
            auto const name = host;
            drop_link(name);
            dial_later(name);
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
    auto message = m_codec->decode(bytes);
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
    for (auto const& [host, p] : m_peers)
    {
        // A link that the other host opened is the other's to close.
        if (!p.m_wanted && p.m_link != nullptr &&
            p.m_link->role() == link_role::initiator &&
            p.m_link->queued_bytes() == 0 &&
            now - p.m_link->last_use() > m_settings.m_idle_limit)
        {
            idle.push_back(host);
        }
    }
    for (auto const& host : idle)
    {
        if (has_link(host))
        {
            drop_link(host);
        }
    }
    std::erase_if(m_peers,
                  [](auto const& entry)
                  {
                      auto const& p = entry.second;
                      return !p.m_wanted && p.m_link == nullptr &&
                             p.m_dial == nullptr;
                  });
    m_sweeper->start(sweep_interval);
}

peer_network::peer_network(std::unique_ptr<state> s)
    : m_state(std::move(s))
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

error cannot_listen(peer_network_settings const& settings)
{
    return make_error(result_code::address_unavailable,
                      "cannot listen for peers on " + settings.m_address + ":" +
                          std::to_string(settings.m_port));
}

/// Binds TCP and then UDP to the same port.
status bind(peer_network::state& s, socket_address const& wanted)
{
    auto const attempts = get_port(wanted) == 0 ? port_attempts : 1;
    for (int i = 0; i < attempts; ++i)
    {
        s.m_listener.reset(evconnlistener_new_bind(
            s.m_loop->base(), on_accept, &s,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            -1, wanted.get(), static_cast<int>(wanted.m_length)));
        if (s.m_listener == nullptr)
        {
            return cannot_listen(s.m_settings);
        }
        auto const bound =
            local_address(evconnlistener_get_fd(s.m_listener.get()));
        if (!bound)
        {
            return cannot_listen(s.m_settings);
        }
        auto socket = datagram_socket::create(
            *s.m_loop, *bound,
            [&s](std::string_view bytes, socket_address const& from)
            { s.on_datagram(bytes, from); });
        if (has_value(socket))
        {
            s.m_datagrams = take(std::move(socket));
            s.m_port = get_port(*bound);
            return success();
        }
    }
    return cannot_listen(s.m_settings);
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
                          "peers need a host name and a numeric address");
    }
    if (settings.m_key.empty() && !settings.m_is_network_trusted &&
        !is_loopback(*address))
    {
        return make_error(result_code::settings_invalid,
                          "without a peer key only a loopback address is "
                          "allowed for peers");
    }
    auto s = std::make_unique<state>();
    auto& network = *s;
    network.m_loop = &loop;
    network.m_settings = std::move(settings);
    network.m_handlers = std::move(handlers);
    network.m_link_handlers = {
        [&network](peer_link& link) { return network.on_verified(link); },
        [&network](peer_link& link) { network.on_open(link); },
        [&network](peer_link& link, peer_message message)
        { network.on_message(link, std::move(message)); },
        [&network](peer_link& link)
        {
            network.on_closed(link);
        }};
    network.m_codec.emplace(network.m_settings.m_key);
    network.m_random.seed(std::random_device{}());
    auto reaper =
        timer::create(loop, [&network] { network.m_retired.clear(); });
    auto sweeper = timer::create(loop, [&network] { network.sweep(); });
    if (!has_value(reaper) || !has_value(sweeper))
    {
        return make_error(result_code::system_failure, "cannot create a timer");
    }
    network.m_reaper = take(std::move(reaper));
    network.m_sweeper = take(std::move(sweeper));
    network.m_sweeper->start(sweep_interval);
    auto const bound = bind(network, *address);
    if (!has_value(bound))
    {
        return failure(bound);
    }
    return std::unique_ptr<peer_network>(new peer_network(std::move(s)));
}

void peer_network::set_peers(std::vector<peer_address> peers)
{
    auto& s = *m_state;
    for (auto& [host, p] : s.m_peers)
    {
        p.m_wanted = false;
    }
    for (auto& address : peers)
    {
        if (address.m_host == s.m_settings.m_host)
        {
            continue;
        }
        auto& p = s.m_peers[address.m_host];
        p.m_wanted = true;
        auto const is_new = p.m_address.m_address != address.m_address ||
                            p.m_address.m_port != address.m_port;
        p.m_address = std::move(address);
        if (is_new && p.m_dial != nullptr)
        {
            s.retire(std::move(p.m_dial));
            p.m_dial = nullptr;
        }
        if (is_new || p.m_redial == nullptr)
        {
            p.m_backoff = core::duration(0);
            s.dial(p);
        }
    }
    for (auto& [host, p] : s.m_peers)
    {
        if (!p.m_wanted)
        {
            if (p.m_dial != nullptr)
            {
                s.retire(std::move(p.m_dial));
                p.m_dial = nullptr;
            }
            p.m_redial.reset();
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
                          "too many bytes wait for " + host);
    }
    return success();
}

bool peer_network::is_linked(std::string const& host) const
{
    return m_state->has_link(host);
}

std::size_t peer_network::queued_bytes(std::string const& host) const
{
    return is_linked(host) ? m_state->m_peers.at(host).m_link->queued_bytes()
                           : 0;
}

void peer_network::send_datagram(std::string const& address, std::uint16_t port,
                                 core::membership_message const& message)
{
    auto const to = parse_address(address, port);
    if (!to || !m_state->is_allowed(*to))
    {
        return;
    }
    auto const bytes = m_state->m_codec->encode(message);
    if (m_state->m_datagrams->send(*to, bytes))
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
