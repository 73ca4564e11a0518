#include "core/target_directory.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

registered_target make_target(std::string name)
{
    registered_target target;
    target.m_name = std::move(name);
    target.m_service = "map";
    target.m_zone = "a";
    target.m_address = "127.0.0.1";
    target.m_port = 80;
    return target;
}

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

} // namespace

// Guards against a target that keeps work after its entry was removed.
TEST_CASE("a removed target is gone at once in normal times")
{
    target_directory directory;
    CHECK(put_target(directory, make_target("t1"), at(0)));
    CHECK(!put_target(directory, make_target("t1"), at(5)));
    CHECK(remove_target(directory, "t1", at(10)));
    CHECK(directory.m_entries.empty());
    CHECK(!remove_target(directory, "t1", at(11)));
}

// Guards against an outage of the registry that empties every pool although
// all targets live.
TEST_CASE("entries that lapsed in an outage may come back")
{
    target_directory directory;
    put_target(directory, make_target("t1"), at(0));
    put_target(directory, make_target("t2"), at(0));
    record_registry_recovery(directory, at(9'900), at(10'000));
    CHECK(!replace_targets(directory, {}, at(10'000)));
    CHECK(directory.m_entries.size() == 2);
    CHECK(next_lapsed_removal(directory) == at(10'000) + lapsed_entry_grace);
    put_target(directory, make_target("t1"), at(11'500));
    CHECK(remove_lapsed_entries(directory, at(10'000) + lapsed_entry_grace));
    REQUIRE(directory.m_entries.size() == 1);
    CHECK(directory.m_entries.contains("t1"));
    CHECK(!next_lapsed_removal(directory));
}

// Guards against a target that left while this host alone was cut from the
// registry, and that it goes on using: the host finds the registry again about
// a second after the end of the cut, and 3 s after it the removal binds.
TEST_CASE("an entry missing after a cut is not used beyond the bound")
{
    auto const cut_ends = at(13'000);
    auto const binds = cut_ends + seconds(3);
    target_directory directory;
    put_target(directory, make_target("left"), at(0));
    record_registry_recovery(directory, at(12'950), at(14'000));
    replace_targets(directory, {}, at(14'000));
    REQUIRE(next_lapsed_removal(directory));
    CHECK(*next_lapsed_removal(directory) < binds);
    CHECK(remove_lapsed_entries(directory, binds));
    CHECK(directory.m_entries.empty());
}

// Guards against a new process under an old name that is taken for the old one.
TEST_CASE("another start under the same name is a change")
{
    target_directory directory;
    auto target = make_target("t1");
    target.m_incarnation = 1;
    put_target(directory, target, at(0));
    target.m_incarnation = 2;
    CHECK(put_target(directory, target, at(5)));
}

TEST_CASE("registered targets replace those of the document")
{
    configuration document;
    service_config service;
    service.m_name = "map";
    service.m_max_connections = 220;
    service.m_targets.resize(3);
    document.m_services.push_back(service);
    target_directory directory;
    auto target = make_target("t1");
    target.m_warm_up_left = seconds(3);
    put_target(directory, target, at(1000));
    target.m_name = "t2";
    target.m_service = "unknown";
    put_target(directory, target, at(1000));
    auto const merged = with_registered_targets(document, directory);
    REQUIRE(merged.m_services[0].m_targets.size() == 1);
    CHECK(merged.m_services[0].m_targets[0].m_name == "t1");
    CHECK(merged.m_services[0].m_targets[0].m_max_connections == 220);
    CHECK(merged.m_services[0].m_targets[0].m_cold_until == at(4000));
}

} // namespace hawthornspur::core
