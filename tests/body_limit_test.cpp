#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

namespace hawthornspur::test
{

// Guards against bodies that the configuration allows and the server of the
// host refuses by a limit of its own.
TEST_CASE("a body within the configured limit is accepted")
{
    constexpr auto mebibyte = std::size_t{1} << 20U;
    test_cluster cluster(2, 1);
    cluster.document().m_services.front().m_max_body_bytes = 64 * mebibyte;
    auto const generation = cluster.apply_configuration(cluster.document());
    cluster.wait_for_agreement(generation, 2);
    auto const owner = cluster.find_owner(0);
    std::string const body(20 * mebibyte, 'x');
    auto const at_owner = cluster.send_and_wait(owner, "POST", "/x", {}, body);
    CHECK(at_owner.m_head.m_status == 200);
    auto const forwarded =
        cluster.send_and_wait(1 - owner, "POST", "/x", {}, body);
    CHECK(forwarded.m_head.m_status == 200);
    auto const too_large = cluster.send_and_wait(
        owner, "POST", "/x", {}, std::string(65 * mebibyte, 'x'));
    CHECK(too_large.m_head.m_status == 413);
}

} // namespace hawthornspur::test
