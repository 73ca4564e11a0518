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

// Guards against a copy of an earlier answer that is taken for the answer to
// the request in flight, and against a true answer that is discarded.
TEST_CASE("a surplus answer bears the id of an earlier request")
{
    answer_history history;
    CHECK(!is_surplus(history, "a0", "b"));
    CHECK(!is_surplus(history, "", "b"));
    record_refusal(history, "refused");
    record_refusal(history, "");
    record_answer(history);
    for (int i = 0; i < 100; ++i)
    {
        record_answer(history, "a" + std::to_string(i));
    }
    for (int i = 100 - 32; i < 100; ++i)
    {
        CHECK(is_surplus(history, "a" + std::to_string(i), "b"));
        CHECK(is_surplus(history, "a" + std::to_string(i), ""));
    }
    CHECK(is_surplus(history, "refused", "b"));
    CHECK(!is_surplus(history, "", "b"));
    CHECK(!is_surplus(history, "a100", "b"));
    CHECK(!is_surplus(history, "b", "b"));
    // The same requests under way again.
    CHECK(!is_surplus(history, "a99", "a99"));
    CHECK(!is_surplus(history, "refused", "refused"));
    // Copies of old answers are no longer known.
    CHECK(!is_surplus(history, "a0", "b"));
    CHECK(history.m_answers == 103);
    CHECK(!has_refused(history, "a99"));
}

} // namespace hawthornspur::core
