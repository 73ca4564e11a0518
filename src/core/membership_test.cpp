#include "core/membership.hpp"
#include "core/models/cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornspur::core
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

models::simulated_cluster settled(models::cluster_settings settings)
{
    auto c = models::make_cluster(settings);
    models::run(c, seconds(15));
    models::check_agreement(c);
    return c;
}

// The largest number of messages that one host sent in a second.
double most_sent(models::simulated_cluster& c, duration time)
{
    for (auto& host : c.m_hosts)
    {
        host.m_sent_messages = 0;
    }
    models::run(c, time);
    std::uint64_t most = 0;
    for (auto const& host : c.m_hosts)
    {
        most = std::max(most, host.m_sent_messages);
    }
    return static_cast<double>(most) /
           std::chrono::duration<double>(time).count();
}

} // namespace

// Guards against hosts that do not find each other, or that suspect each other
// without a fault.
TEST_CASE("hosts that start together agree")
{
    for (std::size_t const count : {2U, 5U, 19U, 100U})
    {
        CAPTURE(count);
        auto c = settled({.m_hosts = count, .m_zones = count == 100 ? 8U : 3U});
        CHECK(c.m_violations == std::vector<std::string>{});
        CHECK(c.m_suspicions == 0);
        CHECK(c.m_false_deaths == 0);
    }
}

// Guards against a cost that grows with the number of hosts. Without a fault a
// host sends one ping and on average one ack in 200 ms, a delegate as much
// again to other zones: 10 and 20 messages a second. The bound leaves a fifth
// for uneven rounds and one second's reconnection attempt.
TEST_CASE("the number of messages does not depend on the number of hosts")
{
    for (std::size_t const count : {5U, 19U, 100U})
    {
        CAPTURE(count);
        auto c = settled({.m_hosts = count, .m_zones = count == 100 ? 8U : 3U});
        CHECK(most_sent(c, seconds(60)) < 25);
        CHECK(c.m_violations == std::vector<std::string>{});
    }
}

// Guards against a dead owner that keeps its pools. Ownership moves at
// suspicion, which has to come within the 600 ms of design section 6 where a
// link to the owner breaks.
TEST_CASE("a killed host is suspected in its zone in time")
{
    for (bool const notices : {false, true})
    {
        CAPTURE(notices);
        models::cluster_settings settings{.m_hosts = 15};
        settings.m_reports_link_loss = notices;
        auto c = settled(settings);
        models::kill_host(c, 4);
        // Without a broken link the round of pings has to find it in time for
        // the performance goal: service is back in under 1 s.
        models::run(c, notices ? milliseconds(600) : milliseconds(1000));
        for (std::size_t const viewer : {1U, 7U, 10U, 13U})
        {
            CAPTURE(viewer);
            CHECK(!models::has_state_in_view(c, viewer, 4, host_state::live));
        }
        models::run(c, seconds(5));
        models::check_agreement(c);
        CHECK(c.m_violations == std::vector<std::string>{});
    }
}

// Guards against a zone whose hosts nobody outside it probes.
TEST_CASE("the loss of a zone is noticed by the other zones")
{
    models::cluster_settings settings{.m_hosts = 24, .m_zones = 4};
    auto c = settled(settings);
    for (std::size_t i = 3; i < 24; i += 4)
    {
        models::kill_host(c, i);
    }
    models::run(c, seconds(16));
    models::check_agreement(c);
    CHECK(c.m_violations == std::vector<std::string>{});
}

// Guards against a view that stays split, or a host that stays dead for some,
// after a partition that outlasts the memory of dead hosts.
TEST_CASE("hosts agree again after a partition of any length")
{
    for (auto const length : {seconds(1), seconds(10), seconds(200)})
    {
        for (bool const store : {true, false})
        {
            CAPTURE(length.count());
            CAPTURE(store);
            auto c = settled({.m_hosts = 16, .m_zones = 4});
            c.m_store.m_is_up = store;
            c.m_store.m_is_list_up = store;
            for (std::size_t i = 0; i < 16; ++i)
            {
                c.m_hosts[i].m_partition = i % 4 < 2 ? 0 : 1;
            }
            models::run(c, length);
            for (auto& host : c.m_hosts)
            {
                host.m_partition = 0;
            }
            models::run(c, seconds(30));
            models::check_agreement(c);
            CHECK(c.m_violations == std::vector<std::string>{});
        }
    }
}

// Guards against hosts that lose each other for good, or flap all the time, on
// links that drop packets.
TEST_CASE("a lossy network causes no lasting error")
{
    models::cluster_settings settings{.m_hosts = 19};
    settings.m_loss_probability = 0.05;
    settings.m_duplicates = 0.05;
    auto c = settled(settings);
    models::run(c, seconds(60));
    CHECK(c.m_false_deaths == 0);
    c.m_settings.m_loss_probability = 0;
    models::run(c, seconds(10));
    models::check_agreement(c);
    CHECK(c.m_violations == std::vector<std::string>{});
}

// Guards against a host that goes on dispatching after a pause in which others
// took over its pools, and against one that never works again.
TEST_CASE("a paused host is isolated until it hears a peer")
{
    auto c = settled({.m_hosts = 9});
    models::pause_host(c, 0, seconds(3));
    models::run(c, milliseconds(2900));
    CHECK(models::has_state_in_view(c, 3, 0, host_state::dead));
    models::run(c, milliseconds(100));
    CHECK(is_isolated(*c.m_hosts[0].m_membership));
    models::run(c, seconds(2));
    models::check_agreement(c);
    // Cut off while it is paused: no peer answers, so it waits.
    models::pause_host(c, 0, seconds(3));
    c.m_hosts[0].m_partition = 1;
    models::run(c, milliseconds(7800));
    CHECK(is_isolated(*c.m_hosts[0].m_membership));
    // Alone for longer, it serves as its side of the partition.
    models::run(c, seconds(3));
    CHECK(!is_isolated(*c.m_hosts[0].m_membership));
    c.m_hosts[0].m_partition = 0;
    models::run(c, seconds(10));
    models::check_agreement(c);
    CHECK(c.m_violations == std::vector<std::string>{});
}

// Guards against a short stall of the own loop that is taken for the death of
// the peers whose acks wait unread.
TEST_CASE("a host that stalled for a short time suspects nobody")
{
    auto c = settled({.m_hosts = 9});
    for (int i = 0; i < 20; ++i)
    {
        models::pause_host(c, 0, milliseconds(500));
        models::run(c, milliseconds(501 + i * 10));
        CHECK(!is_isolated(*c.m_hosts[0].m_membership));
        for (std::size_t other = 1; other < c.m_hosts.size(); ++other)
        {
            CAPTURE(other);
            CHECK(models::has_state_in_view(c, 0, other, host_state::live));
        }
        models::run(c, seconds(2));
    }
    models::check_agreement(c);
    CHECK(c.m_violations == std::vector<std::string>{});
}

// Guards against a restarted host that is kept out, or taken for the process
// before it, by records of the old incarnation.
TEST_CASE("a restarted host replaces its old incarnation")
{
    auto c = settled({.m_hosts = 15});
    for (int i = 0; i < 5; ++i)
    {
        models::kill_host(c, 2);
        models::run(c, milliseconds(50 + i * 700));
        models::start_host(c, 2);
        models::run(c, seconds(3));
        for (std::size_t viewer = 0; viewer < c.m_hosts.size(); ++viewer)
        {
            CAPTURE(viewer);
            CHECK((viewer == 2 ||
                   models::has_state_in_view(c, viewer, 2, host_state::live)));
        }
    }
    models::check_agreement(c);
    CHECK(c.m_violations == std::vector<std::string>{});
}

// Guards against a leaving host that is taken for live or dead.
TEST_CASE("a leaving host is seen as leaving until it stops")
{
    auto c = settled({.m_hosts = 15});
    models::drain_host(c, 6);
    models::run(c, seconds(2));
    for (std::size_t viewer = 0; viewer < c.m_hosts.size(); ++viewer)
    {
        CAPTURE(viewer);
        CHECK((viewer == 6 ||
               models::has_state_in_view(c, viewer, 6, host_state::leaving)));
    }
    models::kill_host(c, 6);
    models::run(c, seconds(3));
    models::check_agreement(c);
    CHECK(c.m_violations == std::vector<std::string>{});
}

namespace
{

host_record record_of(std::string const& name, std::uint64_t incarnation,
                      std::uint64_t version)
{
    host_record record;
    record.m_name = name;
    record.m_zone = "a";
    record.m_address = "10.0.0.2";
    record.m_peer_port = 7000;
    record.m_incarnation = incarnation;
    record.m_version = version;
    record.m_state = host_state::live;
    return record;
}

host_record seen(membership const& m, std::string const& name)
{
    for (auto const& record : hosts(m))
    {
        if (record.m_name == name)
        {
            return record;
        }
    }
    return {};
}

membership_message ping_from(host_record const& sender)
{
    membership_message message;
    message.m_sequence = 1;
    message.m_sender = sender;
    return message;
}

} // namespace

// Guards against a late datagram of the process before a restart that wins
// over the running one, whatever its version and incarnation.
TEST_CASE("a late record of an old incarnation does not win")
{
    time_point const now{seconds(1)};
    membership_effects out;
    auto m = make_membership({}, record_of("h1", 50, 1), 1, now);
    // The old process had changed its record often.
    on_message(*m, ping_from(record_of("h2", 99, 40)), now, out);
    auto fresh = make_membership({}, record_of("h2", 7, 1), 2, now);
    out.clear();
    on_message(*m, ping_from(self(*fresh)), now, out);
    CHECK(seen(*m, "h2").m_incarnation == 99);
    // The ack tells the new process about the old one.
    REQUIRE(out.size() == 1);
    on_message(*fresh, std::get<send_effect>(out.front()).m_message, now, out);
    on_message(*m, ping_from(self(*fresh)), now, out);
    CHECK(seen(*m, "h2").m_incarnation == 7);
    for (std::uint64_t version = 1; version < 100; ++version)
    {
        on_message(*m, ping_from(record_of("h2", 99, version)), now, out);
    }
    CHECK(seen(*m, "h2").m_incarnation == 7);
}

// Guards against two processes of one name of which the older, resumed one
// takes the name back.
TEST_CASE("a paused process whose name was taken stays silent")
{
    time_point now{seconds(1)};
    membership_effects out;
    auto m = make_membership({}, record_of("h1", 50, 1), 1, now);
    on_message(*m, ping_from(record_of("h2", 9, 1)), now, out);
    auto ack = ping_from(record_of("h2", 9, 1));
    ack.m_kind = membership_message_kind::ack;
    ack.m_sequence = 0;
    on_message(*m, ack, now, out);
    now += seconds(10);
    auto const successor = record_of("h1", 51, (std::uint64_t{1} << 32U) + 1);
    auto message = ping_from(record_of("h2", 9, 1));
    message.m_updates = {successor};
    out.clear();
    on_message(*m, message, now, out);
    CHECK(is_superseded(*m));
    CHECK(is_isolated(*m));
    out.clear();
    on_timer(*m, now + seconds(1), out);
    CHECK(out.empty());
}

// Guards against callers sent to hosts that are only listed: the list lags.
TEST_CASE("a listed host is not known before it has answered")
{
    time_point const now{seconds(1)};
    membership_effects out;
    auto m = make_membership({}, record_of("h1", 50, 1), 1, now);
    std::vector<listed_host> const list{
        {"h2", "a", "10.0.0.2", 80, 7000, false},
        {"h1", "a", "10.0.0.1", 80, 7000, false}};
    on_host_list(*m, list, now, out);
    REQUIRE(out.size() == 1);
    CHECK(std::holds_alternative<send_effect>(out.front()));
    CHECK(hosts(*m).empty());
}

// Guards against a timer that runs before the acks which arrived during a
// stall have been read.
TEST_CASE("a stall postpones the deadlines of probes")
{
    time_point now{seconds(1)};
    membership_effects out;
    auto m = make_membership({}, record_of("h1", 50, 1), 1, now);
    on_message(*m, ping_from(record_of("h2", 9, 1)), now, out);
    out.clear();
    on_link_lost(*m, "h2", now, out);
    REQUIRE(out.size() == 1);
    now += milliseconds(500);
    on_timer(*m, now, out);
    // The first call has noted the stall, the next must not note it again.
    on_loop_iteration(*m, now, out);
    CHECK(seen(*m, "h2").m_state == host_state::live);
    // Without an ack the suspicion comes as late as the stall was long.
    for (int i = 0; i < 20; ++i)
    {
        now += milliseconds(10);
        on_timer(*m, now, out);
    }
    CHECK(seen(*m, "h2").m_state == host_state::suspected);
}

// Guards against a partition that never heals because the platform's list is
// not available and the dead hosts beyond it were forgotten, and against dead
// hosts that are kept although a later list has arrived.
TEST_CASE("a dead host is tried until a list has arrived after its death")
{
    time_point now{seconds(1)};
    membership_effects out;
    auto m = make_membership({}, record_of("h1", 50, 1), 1, now);
    on_message(*m, ping_from(record_of("h2", 9, 1)), now, out);
    auto const pass = [&](duration time)
    {
        for (auto const end = now + time; now < end; now += milliseconds(100))
        {
            on_timer(*m, now, out);
        }
    };
    pass(seconds(300));
    CHECK(seen(*m, "h2").m_state == host_state::dead);
    out.clear();
    pass(seconds(2));
    CHECK(std::any_of(out.begin(), out.end(),
                      [](auto const& effect)
                      { return std::holds_alternative<send_effect>(effect); }));
    on_host_list(*m, {}, now, out);
    pass(seconds(1));
    CHECK(hosts(*m).empty());
}

// Guards against a suspicion that the suspect cannot refute.
TEST_CASE("a suspected host refutes with a higher version")
{
    time_point const now{seconds(1)};
    membership_effects out;
    auto m = make_membership({}, record_of("h1", 50, 4), 1, now);
    for (auto const state : {host_state::suspected, host_state::dead})
    {
        auto message = ping_from(record_of("h2", 9, 1));
        message.m_updates = {self(*m)};
        message.m_updates.front().m_state = state;
        auto const before = self(*m).m_version;
        on_message(*m, message, now, out);
        CHECK(self(*m).m_version == before + 1);
        CHECK(self(*m).m_state == host_state::live);
    }
}

// Guards against one lost path that is taken for a dead host.
TEST_CASE("a host that others reach is not suspected")
{
    time_point now{seconds(1)};
    membership_effects out;
    auto m = make_membership({}, record_of("h1", 50, 1), 1, now);
    on_message(*m, ping_from(record_of("h2", 9, 1)), now, out);
    on_message(*m, ping_from(record_of("h3", 10, 1)), now, out);
    out.clear();
    on_link_lost(*m, "h2", now, out);
    REQUIRE(out.size() == 1);
    auto const sequence =
        std::get<send_effect>(out.front()).m_message.m_sequence;
    out.clear();
    now += milliseconds(100);
    on_timer(*m, now, out);
    auto const is_request = [](membership_effect const& effect)
    {
        auto const* sent = std::get_if<send_effect>(&effect);
        return sent != nullptr &&
               sent->m_message.m_kind == membership_message_kind::ping_request;
    };
    CHECK(std::count_if(out.begin(), out.end(), is_request) == 1);
    auto ack = ping_from(record_of("h3", 10, 1));
    ack.m_kind = membership_message_kind::ack;
    ack.m_sequence = sequence;
    ack.m_subject = "h2";
    on_message(*m, ack, now, out);
    now += milliseconds(100);
    on_timer(*m, now, out);
    CHECK(seen(*m, "h2").m_state == host_state::live);
}

} // namespace hawthornspur::core
