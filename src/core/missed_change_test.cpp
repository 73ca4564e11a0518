#include "core/missed_change.hpp"

#include <doctest/doctest.h>

#include <memory>

namespace hawthornspur::core
{

// Guards against a host that waits for ever for a document that others have
// announced, and against reads of the store without end when it is gone.
TEST_CASE("a document that peers do not send is read from the store")
{
    configuration_state known;
    missed_change state;
    auto const start = time_point(std::chrono::hours(1));
    CHECK(!is_own_read_due(state, known, false, start));
    known.m_newest_generation = 7;
    CHECK(!is_own_read_due(state, known, false, start));
    CHECK(!is_own_read_due(state, known, false,
                           start + std::chrono::milliseconds(500)));
    // 2 s after the change, as the users demand, leaves the store 1 s.
    CHECK(
        is_own_read_due(state, known, false, start + std::chrono::seconds(1)));
    int reads = 0;
    for (int second = 1; second <= 600; ++second)
    {
        reads += is_own_read_due(state, known, false,
                                 start + std::chrono::seconds(second))
                     ? 1
                     : 0;
    }
    CHECK(reads > 20);
    CHECK(reads < 60);
    auto document = std::make_shared<configuration>();
    document->m_generation = 7;
    offer(known, document);
    CHECK(!is_own_read_due(state, known, false,
                           start + std::chrono::seconds(601)));
    // The next change is waited for anew.
    known.m_newest_generation = 8;
    CHECK(!is_own_read_due(state, known, false,
                           start + std::chrono::seconds(700)));
}

// Guards against a host that stays in doubt, and refuses access keys, because
// it does not read the store again.
TEST_CASE("a host in doubt reads the store without an announcement")
{
    missed_change state;
    configuration_state const known;
    time_point const start(std::chrono::seconds(10));
    CHECK(!is_own_read_due(state, known, false, start));
    CHECK(!is_own_read_due(state, known, true, start));
    CHECK(is_own_read_due(state, known, true, start + std::chrono::seconds(1)));
    CHECK(!is_own_read_due(state, known, false,
                           start + std::chrono::seconds(600)));
}

} // namespace hawthornspur::core
