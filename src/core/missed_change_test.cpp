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
    CHECK(!is_own_read_due(state, known, start));
    known.m_newest_generation = 7;
    CHECK(!is_own_read_due(state, known, start));
    CHECK(
        !is_own_read_due(state, known, start + std::chrono::milliseconds(500)));
    // 2 s after the change, as the users demand, leaves the store 1 s.
    CHECK(is_own_read_due(state, known, start + std::chrono::seconds(1)));
    int reads = 0;
    for (int second = 1; second <= 600; ++second)
    {
        reads +=
            is_own_read_due(state, known, start + std::chrono::seconds(second))
                ? 1
                : 0;
    }
    CHECK(reads > 20);
    CHECK(reads < 60);
    auto document = std::make_shared<configuration>();
    document->m_generation = 7;
    offer(known, document);
    CHECK(!is_own_read_due(state, known, start + std::chrono::seconds(601)));
    // The next change is waited for anew.
    known.m_newest_generation = 8;
    CHECK(!is_own_read_due(state, known, start + std::chrono::seconds(700)));
}

} // namespace hawthornspur::core
