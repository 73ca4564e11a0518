#include "net/event_loop.hpp"
#include "net/net_test_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::net
{

// Guards against an action that reads its captures after it has ended the
// object that owns its timer.
TEST_CASE("a timer that its own action destroys completes the action")
{
    auto loop = take(event_loop::create());
    std::unique_ptr<timer> owner;
    std::string const name(100, 'n');
    std::string seen;
    owner = take(timer::create(*loop,
                               [&owner, &seen, text = name]
                               {
                                   owner.reset();
                                   // Takes the memory that is free.
                                   std::vector<std::string> const others(
                                       100, std::string(100, 'x'));
                                   seen = text;
                               }));
    owner->start(core::duration(0));
    REQUIRE(run_until(*loop, [&] { return !seen.empty(); }));
    CHECK(seen == name);
}

// Guards against work that is put off for as long as a host is busy: libevent
// takes a due timer off its list of active events when it is started again.
TEST_CASE("a due timer runs although each iteration starts it again")
{
    auto loop = take(event_loop::create());
    int unanswered_starts = 0;
    int most_unanswered_starts = 0;
    auto due = take(timer::create(*loop, [&] { unanswered_starts = 0; }));
    busy_loop const busy(*loop,
                         [&]
                         {
                             ++unanswered_starts;
                             most_unanswered_starts = std::max(
                                 most_unanswered_starts, unanswered_starts);
                             due->start(core::duration(0));
                         });
    busy.run_iterations(100);
    // Started in one iteration, started again and run in the next one.
    CHECK(most_unanswered_starts <= 2);
}

// Guards against a timer that ignores a later time.
TEST_CASE("a timer that is started again with a delay runs once, after it")
{
    auto loop = take(event_loop::create());
    std::vector<core::time_point> runs;
    auto delayed =
        take(timer::create(*loop, [&] { runs.push_back(event_loop::now()); }));
    delayed->start(core::duration(0));
    auto const start = event_loop::now();
    delayed->start(std::chrono::milliseconds(30));
    REQUIRE(run_until(*loop, [&] { return !runs.empty(); }));
    CHECK(runs.front() - start >= std::chrono::milliseconds(29));
    loop->run_pending();
    CHECK(runs.size() == 1);
}

} // namespace hawthornspur::net
