#include "core/document_source.hpp"

#include <doctest/doctest.h>

#include <set>

namespace hawthornspur::core
{

namespace
{

std::vector<host_record> make_hosts()
{
    std::vector<host_record> hosts(4);
    hosts[0].m_name = "owner";
    hosts[1].m_name = "successor";
    hosts[1].m_generation = 10;
    hosts[2].m_name = "lost";
    hosts[2].m_generation = 10;
    hosts[2].m_state = host_state::dead;
    hosts[3].m_name = "unlinked";
    hosts[3].m_generation = 10;
    return hosts;
}

std::string choose(std::string const& announcer, std::size_t attempts)
{
    std::set<std::string> const links{"owner", "successor", "lost"};
    return choose_document_source(
        announcer, 10, make_hosts(),
        [&](std::string const& name) { return links.contains(name); },
        attempts);
}

} // namespace

// Guards against a host that learns of a generation only from hosts without a
// link and waits until a linked host has announced it too.
TEST_CASE("a document is requested over any link")
{
    CHECK(choose("owner", 0) == "owner");
    CHECK(choose("unlinked", 0) == "successor");
    CHECK(choose("unlinked", 1) == "owner");
    CHECK(choose("unlinked", 2) == "successor");
    CHECK(choose_document_source(
              "unlinked", 10, make_hosts(),
              [](std::string const&) { return false; }, 0)
              .empty());
}

} // namespace hawthornspur::core
