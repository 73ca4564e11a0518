#include "core/fleet_start.hpp"
#include "core/quota_allowance.hpp"
#include "core/quota_home.hpp"
#include "core/quota_ledger.hpp"

#include <doctest/doctest.h>

#include <span>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr quota_margin margin{0.1, 20};
constexpr time_point start(seconds(100));

/// A ledger with one customer whose bucket is full.
quota_ledger make_full_ledger(quota_limits limits)
{
    quota_ledger ledger;
    set_share(ledger, 1, start);
    set_limits(ledger, {{"harbour", limits}}, margin, start - seconds(100));
    return ledger;
}

double grant_all(quota_ledger& ledger, std::string_view host, time_point now)
{
    return grant(ledger, {"harbour", host, 1e6, 0, 0}, now).m_tokens;
}

} // namespace

// Guards against a lower limit that the credit of the former one exceeds.
TEST_CASE("a lower limit truncates the bucket at once")
{
    auto ledger = make_full_ledger({100, 100});
    set_limits(ledger, {{"harbour", {10, 4}}}, margin, start);
    CHECK(grant_all(ledger, "a", start) == 14);
    CHECK(grant_all(ledger, "b", start + seconds(1)) == 0);
}

// Guards against a bucket that refills to its capacity while hosts still hold
// tokens, and against tokens that a lost host holds for ever.
TEST_CASE("granted and available tokens stay within capacity and transit")
{
    auto ledger = make_full_ledger({100, 20});
    CHECK(grant_all(ledger, "a", start) == 31);
    CHECK(grant_all(ledger, "b", start + milliseconds(900)) == 5);
    CHECK(grant_all(ledger, "b", start + milliseconds(950)) == 0);
    report_unused(ledger, {"harbour", "a", 0, 10, 5},
                  start + milliseconds(900));
    CHECK(grant_all(ledger, "b", start + milliseconds(900)) == 5);
    CHECK(grant_all(ledger, "b", start + seconds(3)) == 31);
}

// Guards against callers within their quota that are refused for seconds after
// all hosts were lost, because each home waits for a former one.
TEST_CASE("a home grants its full rate from the start of the whole fleet on")
{
    fleet_start fleet{start, {}};
    observe_start(fleet, {}, start);
    CHECK(!joint_start(fleet, start + seconds(1)));
    std::vector<host_record> others(2);
    observe_start(fleet, others, start);
    CHECK(!joint_start(fleet, start + milliseconds(59)));
    CHECK(joint_start(fleet, start + milliseconds(400)) == start);
    CHECK(!joint_start(fleet, start + seconds(5)));

    quota_ledger ledger;
    set_share(ledger, 1, start);
    set_limits(ledger, {{"harbour", {100, 100}}}, margin,
               start + milliseconds(30));
    set_joint_start(ledger, start, start + milliseconds(60));
    CHECK(grant_all(ledger, "a", start + milliseconds(400)) == 42);
    report_unused(ledger, {"harbour", "a", 0, 42, 0},
                  start + milliseconds(450));
    CHECK(grant_all(ledger, "a", start + milliseconds(1400)) == 105);
}

// Guards against a process that takes its own restart for that of the fleet,
// and grants what the former home has granted.
TEST_CASE("a host that starts beside serving hosts is no fleet start")
{
    fleet_start fleet{start, {}};
    std::vector<host_record> others(2);
    others[0].m_state = host_state::dead;
    observe_start(fleet, std::span(others).first(1), start);
    CHECK(!joint_start(fleet, start + seconds(1)));
    observe_start(fleet, others, start);
    others[1].m_state = host_state::live;
    observe_start(fleet, others, start + milliseconds(20));
    CHECK(!joint_start(fleet, start + seconds(1)));
}

// Guards against a successor, or a home that was paused, that grants credit
// which another home has granted too.
TEST_CASE("a new home and a paused one start without tokens at half the rate")
{
    quota_ledger ledger;
    set_share(ledger, 1, start);
    set_limits(ledger, {{"harbour", {100, 200}}}, margin, start);
    CHECK(grant_all(ledger, "a", start) == 0);
    CHECK(grant_all(ledger, "a", start + seconds(1)) == 52);
    reset_after_pause(ledger, start + seconds(3));
    CHECK(grant_all(ledger, "a", start + seconds(4)) == 52);
}

// Guards against a refusal with a delay that is too short or too long.
TEST_CASE("a grant of zero says when the next token arises")
{
    auto ledger = make_full_ledger({10, 0});
    CHECK(grant_all(ledger, "a", start) == 10);
    report_unused(ledger, {"harbour", "a", 0, 10, 0}, start);
    auto const none = grant(ledger, {"harbour", "b", 1, 0, 0}, start);
    CHECK(none.m_tokens == 0);
    CHECK(none.m_next_token > milliseconds(45));
    CHECK(none.m_next_token < milliseconds(96));
    CHECK(grant(ledger, {"harbour", "b", 1, 0, 0}, start + none.m_next_token)
              .m_tokens == 1);
    CHECK(grant(ledger, {"market", "b", 1, 0, 0}, start).m_tokens == 0);
}

// Guards against credit that is lost when a request ends without a run, and
// against a refused queue that returns more than the last grant.
TEST_CASE("a token is put back while its allowance lasts")
{
    quota_allowance allowance;
    CHECK(take(allowance, start) == quota_decision::wait);
    on_grant(allowance, start, 3, {}, start);
    CHECK(take(allowance, start) == quota_decision::admitted);
    put_back(allowance, start);
    CHECK(make_question(allowance, 0, start).m_used == 0);
    for (int i = 0; i < 3; ++i)
    {
        CHECK(take(allowance, start) == quota_decision::admitted);
    }
    CHECK(take(allowance, start) == quota_decision::wait);
    for (int i = 0; i < 5; ++i)
    {
        put_back(allowance, start);
    }
    auto const end = start + quota_allowance_lifetime;
    CHECK(take(allowance, end) == quota_decision::wait);
    CHECK(make_question(allowance, 0, end).m_unused == 5);
    put_back(allowance, end);
    CHECK(take(allowance, end) == quota_decision::wait);
}

// Guards against an allowance that outlives its home, however late it arrives.
TEST_CASE("an allowance ends a second after its question was sent")
{
    quota_allowance allowance;
    auto const late = start + milliseconds(900);
    on_grant(allowance, start, 2, {}, late);
    CHECK(take(allowance, late + milliseconds(99)) == quota_decision::admitted);
    CHECK(take(allowance, late + milliseconds(100)) == quota_decision::wait);
    on_grant(allowance, start, 2, {}, start + seconds(1));
    CHECK(take(allowance, start + seconds(1)) == quota_decision::wait);
    CHECK(is_question_due(allowance, 0, start + seconds(1)));
    CHECK(make_question(allowance, 0, start + seconds(1)).m_unused == 3);
}

// Guards against a host that relies on the answer of a home that has no share
// or no longer is the home.
TEST_CASE("a home that has no token is asked again within half a second")
{
    quota_allowance allowance;
    make_question(allowance, 1, start);
    on_grant(allowance, start, 0, seconds(20), start);
    CHECK(take(allowance, start) == quota_decision::refused);
    CHECK(retry_delay(allowance, 0.05, start) == seconds(20));
    CHECK(take(allowance, start + milliseconds(500)) == quota_decision::wait);
    quota_ledger ledger;
    set_limits(ledger, {{"harbour", {0.05, 0}}}, margin, start);
    CHECK(grant(ledger, {"harbour", "a", 1, 0, 0}, start).m_next_token ==
          milliseconds(200));
}

// Guards against callers that are all told to return at the same moment.
TEST_CASE("refused callers are told to return one after another")
{
    quota_allowance allowance;
    CHECK(make_question(allowance, 1, start).m_wanted == 2);
    on_grant(allowance, start, 0, milliseconds(40), start);
    CHECK(take(allowance, start) == quota_decision::refused);
    CHECK(retry_delay(allowance, 100, start) == milliseconds(40));
    CHECK(retry_delay(allowance, 100, start) == milliseconds(50));
    CHECK(take(allowance, start + milliseconds(40)) == quota_decision::wait);
    for (int i = 0; i < 1000; ++i)
    {
        CHECK(retry_delay(allowance, 100, start) <= milliseconds(1040));
    }
}

// Guards against homes on both sides of a partition that use the limit in full,
// and against a host that goes on alone before the others have noticed.
TEST_CASE("the share follows the zones and hosts that are in contact")
{
    quota_contact contact{4, 4, {8, 0}, true, true, 8};
    CHECK(quota_share(contact, {}, start) == 1);
    contact.m_reached_zones = 1;
    CHECK(quota_share(contact, {}, start) == 0.25);
    contact.m_fleet = {1, 7};
    CHECK(quota_share(contact, {}, start) == 0.125);
    contact.m_reaches_other_owner = false;
    CHECK(quota_share(contact, start, start + milliseconds(4999)) == 0);
    CHECK(quota_share(contact, start, start + seconds(5)) == 0.125);
    CHECK(quota_share(contact, start, start, true) == 0.25);
    contact.m_knows_other_zones = false;
    contact.m_fleet = {8, 0};
    contact.m_zones = 1;
    CHECK(quota_share(contact, {}, start) == 1);
}

// Guards against a zone without hosts that counts as reached, because a host of
// another zone owns its pools.
TEST_CASE("a zone counts as reached only by a host of its own")
{
    configuration document;
    document.m_services.resize(1);
    document.m_services[0].m_name = "map";
    document.m_zones.resize(2);
    document.m_zones[0].m_name = "east";
    document.m_zones[1].m_name = "west";
    std::vector<host_record> hosts(3);
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        hosts[i].m_name = std::string(1, static_cast<char>('a' + i));
        hosts[i].m_zone = i < 2 ? "east" : "west";
        hosts[i].m_state = host_state::live;
    }
    auto const reach_all = [](std::string const&)
    {
        return true;
    };
    routing_table table;
    reset(table, hosts);
    CHECK(observe_contact(table, document, "a", reach_all).m_reached_zones ==
          2);
    CHECK(quota_homes(table, document).size() == 2);
    hosts[2].m_state = host_state::dead;
    reset(table, hosts);
    auto const contact = observe_contact(table, document, "a", reach_all);
    CHECK(contact.m_reached_zones == 1);
    CHECK(contact.m_fleet.m_lost == 1);
    CHECK(quota_share(contact, {}, start) == 0.5);
}

} // namespace hawthornspur::core
