#include "core/answer_history.hpp"

#include <doctest/doctest.h>

#include <string>

namespace hawthornspur::core
{

// Guards against a refused request that goes out again on the connection on
// which a copy of the refusal may be due.
TEST_CASE("a refused request is known for as long as its connection is kept")
{
    answer_history history;
    record_refusal(history, "r0");
    int refused = 1;
    while (!is_full(history))
    {
        record_answer(history);
        record_refusal(history, "r" + std::to_string(refused++));
    }
    for (int i = 0; i < refused; ++i)
    {
        CHECK(has_refused(history, "r" + std::to_string(i)));
    }
    CHECK(!has_refused(history, "r" + std::to_string(refused)));
    CHECK(!has_refused(history, ""));
}

} // namespace hawthornspur::core
