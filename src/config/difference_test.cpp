#include "config/difference.hpp"
#include "config/document.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::config
{

namespace
{

core::configuration make_document()
{
    core::configuration document;
    document.m_generation = 3;
    document.m_zones.push_back({"a", "r", {}, {}});
    core::service_config service;
    service.m_name = "map";
    for (auto const* name : {"claim", "page"})
    {
        core::kind_config kind;
        kind.m_name = name;
        kind.m_method = "GET";
        kind.m_path_prefix = "/";
        service.m_kinds.push_back(kind);
    }
    service.m_targets.push_back({"map-1", "a", "127.0.0.1", 9001});
    service.m_targets.push_back({"map-2", "a", "127.0.0.1", 9002});
    document.m_services.push_back(service);
    return document;
}

} // namespace

// Guards against a review that omits a change, or that reports entries as
// changed which only have another index.
TEST_CASE("differences are described by path, old and new value")
{
    auto const before = make_document();
    CHECK(find_differences(before, before).empty());
    auto after = before;
    after.m_generation = 9;
    auto& service = after.m_services[0];
    service.m_max_queue = 7;
    service.m_kinds[1].m_share_declared = true;
    service.m_kinds[1].m_max_share = 0.25;
    service.m_targets.erase(service.m_targets.begin());
    service.m_targets[0].m_slots = 4;
    after.m_services.push_back(after.m_services[0]);
    after.m_services[1].m_name = "new";
    after.m_services[1].m_kinds.clear();
    after.m_services[1].m_targets.clear();
    CHECK(describe(find_differences(before, after)) ==
          R"(+ services[map].kinds[page].max_share: 0.25
- services[map].targets[map-1]: {"name":"map-1","zone":"a",)"
          R"("address":"127.0.0.1","port":9001,"slots":1,)"
          R"("max_connections":100,"state":"active"}
~ services[map].targets[map-2].slots: 1 -> 4
~ services[map].max_queue: 1000 -> 7
+ services[new]: {"name":"new","kinds":[],"targets":[],)"
          R"("probe_budget":{"cost_per_second":"0s","probe_cost":"6ms",)"
          R"("connection_cost":"1ms","path":"/health"},)"
          R"("retry_budget":{"ratio":0.1,"burst":10.0},)"
          R"("max_body":"1MiB","max_answer":"64MiB","max_queue":7}
)");
}

// Guards against access keys in reviews and logs, and against changes of keys
// that a review does not show.
TEST_CASE("differences show the digests of access keys")
{
    std::string const old_key = "old-key-of-harbour";
    std::string const new_key = "new-key-of-harbour";
    auto before = make_document();
    before.m_customers = core::make_customer_table(
        {{"harbour", {old_key}, 4, 0, 0}, {"gone", {"key-of-gone-1234"}}});
    auto after = make_document();
    after.m_customers = core::make_customer_table(
        {{"harbour", {new_key}, 4, 5, 0}, {"added", {"key-of-added-123"}}});
    auto const text = describe(find_differences(before, after));
    CHECK(text.find("key-of") == std::string::npos);
    CHECK(text.find("~ customers[harbour].access_keys: [\"" +
                    content_hash(old_key).substr(0, 8) + "\"] -> [\"" +
                    content_hash(new_key).substr(0, 8) + "\"]\n") !=
          std::string::npos);
    CHECK(text.find("+ customers[harbour].rate: 5.0\n") != std::string::npos);
    CHECK(text.find("- customers[gone]: ") != std::string::npos);
    CHECK(text.find("+ customers[added]: ") != std::string::npos);
}

// Guards against a swap of two kinds that is not reported although another kind
// applies to the same request.
TEST_CASE("a changed order of kinds is a difference")
{
    auto const before = make_document();
    auto after = before;
    std::swap(after.m_services[0].m_kinds[0], after.m_services[0].m_kinds[1]);
    CHECK(describe(find_differences(before, after)) ==
          "~ services[map].kinds (order): [\"claim\",\"page\"] -> "
          "[\"page\",\"claim\"]\n");
}

} // namespace hawthornspur::config
