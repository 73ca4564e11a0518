#include "net/event_loop.hpp"
#include "net/net_test_support.hpp"

#include <doctest/doctest.h>

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

} // namespace hawthornspur::net
