#include "caller/request_codec.hpp"
#include "caller/retry_rules.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::calling
{

namespace
{

using enum result_code;
using enum next_step;
constexpr auto once = call_rule::at_most_once;
constexpr auto idempotent = call_rule::idempotent;
constexpr auto not_run = execution::not_run;
constexpr auto unknown = execution::unknown;
constexpr auto ran = execution::ran;

} // namespace

// Guards against retries of requests that may have run, and against retries
// that add load to an overloaded pool.
TEST_CASE("the next step depends on the failure, the rule and the key")
{
    struct row
    {
        char const* m_what;
        failed_attempt m_failure;
        retry_conditions m_conditions;
        next_step m_expected;
    };
    row const rows[] = {
        {"no connection",
         {address_unavailable, not_run},
         {once, true, false, false, true},
         send_again},
        {"no connection, no address left",
         {address_unavailable, not_run},
         {once, true, false, false, false},
         give_up},
        {"host is leaving",
         {host_leaving, not_run},
         {once, true, false, false, true},
         send_again},
        {"the pool is full",
         {queue_full, not_run},
         {idempotent, false, false, false, true},
         give_up},
        {"the request is invalid",
         {unknown_kind, not_run},
         {idempotent, false, false, false, true},
         give_up},
        {"closed, at most once",
         {target_closed, unknown},
         {once, true, false, false, true},
         give_up},
        {"closed, at most once, no key, copies allowed",
         {target_closed, unknown},
         {once, false, true, false, true},
         give_up},
        {"closed, at most once, copies allowed",
         {target_closed, unknown},
         {once, true, true, false, true},
         send_copy},
        {"the home is gone",
         {home_gone, unknown},
         {once, true, true, false, true},
         give_up},
        {"the last attempt did not run, an earlier one may have",
         {host_leaving, not_run},
         {once, true, false, true, true},
         give_up},
        {"the last attempt did not run, an earlier one may have, copies "
         "allowed",
         {owner_unreachable, not_run},
         {once, true, true, true, true},
         send_copy},
        {"closed, idempotent",
         {target_closed, unknown},
         {idempotent, false, false, false, true},
         send_again},
        {"silent, idempotent, no address left",
         {target_silent, unknown},
         {idempotent, false, false, false, false},
         give_up},
        {"ran, idempotent",
         {answer_too_large, ran},
         {idempotent, false, false, false, true},
         give_up},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_what);
        CHECK(choose_next_step(row.m_failure, row.m_conditions) ==
              row.m_expected);
    }
}

// Guards against "not run" being reported for a call whose earlier attempt may
// have run.
TEST_CASE("a call is not run only if none of its attempts may have run")
{
    CHECK(get_call_execution({host_leaving, not_run}, false) == not_run);
    CHECK(get_call_execution({host_leaving, not_run}, true) == unknown);
    CHECK(get_call_execution({answer_too_large, ran}, true) == ran);
}

// Guards against a refusal with an unknown outcome that is treated as "not
// run".
TEST_CASE("refusals are read from the headers of an answer")
{
    CHECK_FALSE(read_refusal({{"Content-Type", "text/plain"}}));
    auto const refusal = read_refusal(
        {{"hawthornspur-code", "2006"}, {"hawthornspur-outcome", "not-run"}});
    REQUIRE(refusal);
    CHECK(refusal->m_code == host_leaving);
    CHECK(refusal->m_execution == not_run);
    for (auto const* outcome : {"", "unknown", "Not-Run", "none", "yes"})
    {
        CHECK(read_refusal({{"Hawthornspur-Code", "2006"},
                            {"Hawthornspur-Outcome", outcome}})
                  ->m_execution == unknown);
    }
    CHECK(read_refusal({{"Hawthornspur-Code", "2006"}})->m_execution ==
          unknown);
    CHECK(
        to_failed_attempt(net::exchange_outcome::connect_failed).m_execution ==
        not_run);
    for (auto const outcome :
         {net::exchange_outcome::silent, net::exchange_outcome::closed,
          net::exchange_outcome::malformed, net::exchange_outcome::truncated})
    {
        CHECK(to_failed_attempt(outcome).m_execution == unknown);
    }
}

} // namespace hawthornspur::calling
