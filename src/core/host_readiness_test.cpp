#include "core/host_readiness.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;

constexpr duration step = milliseconds(50);

/// A host that has started, observed every 50 ms.
class observed_host
{
public:
    observed_host()
    {
        update_readiness(m_readiness, {.m_can_start = true}, m_now);
    }

    /// Observes the condition for this time and returns whether the host is
    /// ready at its end.
    bool observe(host_condition const& condition, duration time)
    {
        for (auto const end = m_now + time; m_now < end;)
        {
            m_now += step;
            update_readiness(m_readiness, condition, m_now);
        }
        return is_ready(m_readiness);
    }

    readiness_fault fault() const
    {
        return m_readiness.m_fault;
    }

private:
    host_readiness m_readiness;
    time_point m_now{std::chrono::hours(1)};
};

host_condition late_condition(bool is_allowed_to_leave)
{
    return {.m_loop_delay = milliseconds(1500),
            .m_may_leave = is_allowed_to_leave};
}

} // namespace

// Guards against a host that says ready before it can serve.
TEST_CASE("a host is ready once it can start, and stays so without a fault")
{
    host_readiness readiness;
    time_point const now{};
    CHECK(!update_readiness(readiness, {}, now));
    CHECK(readiness.m_fault == readiness_fault::starting);
    CHECK(update_readiness(readiness, {.m_can_start = true}, now));
    CHECK(is_ready(readiness));
    CHECK(!update_readiness(readiness, {}, now));
    CHECK(is_ready(readiness));
}

// Guards against a host that says ready and accepts no connection.
TEST_CASE("a host that cannot accept is out until it accepts for a second")
{
    observed_host host;
    CHECK(host.observe({.m_not_accepting = milliseconds(900)}, step));
    CHECK(!host.observe({.m_not_accepting = milliseconds(1000)}, step));
    CHECK(host.fault() == readiness_fault::not_accepting);
    // Still failing, anew since a single connection was accepted.
    CHECK(!host.observe({.m_not_accepting = milliseconds(50)},
                        milliseconds(3000)));
    CHECK(!host.observe({}, milliseconds(900)));
    CHECK(host.observe({}, milliseconds(200)));
}

// Guards against callers that wait for a host whose event loop does not keep
// up.
TEST_CASE("a host that is late for a second leaves if others stay")
{
    observed_host host;
    CHECK(host.observe(late_condition(true), milliseconds(1000)));
    CHECK(!host.observe(late_condition(true), milliseconds(100)));
    CHECK(host.fault() == readiness_fault::late);
    // The others that are out do not bring it back.
    CHECK(!host.observe(late_condition(false), milliseconds(2000)));
    CHECK(!host.observe({}, milliseconds(900)));
    CHECK(host.observe({}, milliseconds(200)));
}

// Guards against a pause that takes a sound host out.
TEST_CASE("a single delay does not take a host out")
{
    observed_host host;
    for (int i = 0; i < 10; ++i)
    {
        CHECK(host.observe(late_condition(true), milliseconds(500)));
        CHECK(host.observe({}, step));
    }
}

// Guards against a fleet that leaves as a whole under load.
TEST_CASE("at most a quarter of the hosts of a zone is out for being late")
{
    constexpr int hosts = 60;
    int out = 0;
    while (may_leave(hosts - 1 - out, out))
    {
        ++out;
    }
    CHECK(out == hosts / 4);
    CHECK(!may_leave(0, 0));
    CHECK(!may_leave(2, 0));
    CHECK(may_leave(3, 0));
    observed_host host;
    CHECK(host.observe(late_condition(false), milliseconds(5000)));
}

} // namespace hawthornspur::core
