#include "config/document.hpp"
#include "config/quantity.hpp"
#include "config/settings.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

namespace hawthornspur::config
{

namespace
{

int any_number_up_to(int highest)
{
    return *rc::gen::inRange(0, highest + 1);
}

core::duration any_duration(core::duration lowest, core::duration highest)
{
    return core::duration(
        *rc::gen::inRange<std::int64_t>(lowest.count(), highest.count() + 1));
}

core::kind_config any_kind(int index)
{
    using std::chrono::milliseconds;
    core::kind_config kind;
    kind.m_name = "kind-" + std::to_string(index);
    kind.m_method = *rc::gen::element<std::string>("GET", "POST", "DELETE");
    kind.m_path_prefix = "/path-" + std::to_string(index) + "/";
    kind.m_execution = *rc::gen::element(core::execution_rule::at_most_once,
                                         core::execution_rule::idempotent);
    kind.m_deadline = any_duration(milliseconds(1), std::chrono::seconds(60));
    kind.m_priority = any_number_up_to(9);
    kind.m_share_declared = *rc::gen::arbitrary<bool>();
    if (kind.m_share_declared)
    {
        kind.m_max_share = (1 + any_number_up_to(9999)) / 10'000.0;
    }
    kind.m_hedge = kind.m_execution == core::execution_rule::idempotent &&
                   *rc::gen::arbitrary<bool>();
    for (int i = any_number_up_to(3); i > 0; --i)
    {
        kind.m_not_run_statuses.push_back(400 + any_number_up_to(199));
    }
    kind.m_target_latency =
        any_duration(milliseconds(0), std::chrono::seconds(2));
    kind.m_max_attempts = 1 + any_number_up_to(9);
    kind.m_is_public = *rc::gen::arbitrary<bool>();
    return kind;
}

core::service_config any_service(int index, int zones)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    core::service_config service;
    service.m_name = "service-" + std::to_string(index);
    for (int i = any_number_up_to(4); i >= 0; --i)
    {
        service.m_kinds.push_back(any_kind(i));
    }
    for (int i = any_number_up_to(5); i > 0; --i)
    {
        auto const slots = 1 + any_number_up_to(9);
        service.m_targets.push_back(
            {"target-" + std::to_string(i),
             "zone-" + std::to_string(any_number_up_to(zones - 1)),
             *rc::gen::element<std::string>("127.0.0.1", "::1"),
             static_cast<std::uint16_t>(i), slots,
             slots + any_number_up_to(300),
             *rc::gen::element(core::target_state::active,
                               core::target_state::draining)});
    }
    service.m_probe_budget = {any_duration(milliseconds(0), seconds(1)),
                              any_duration(milliseconds(1), seconds(1)),
                              any_duration(milliseconds(0), seconds(1)),
                              "/probe"};
    service.m_retry_budget = {any_number_up_to(1000) / 1000.0,
                              any_number_up_to(100) / 3.0};
    service.m_max_body_bytes = *rc::gen::inRange<std::size_t>(0, 1U << 26U);
    service.m_max_answer_bytes =
        *rc::gen::inRange<std::size_t>(1U << 10U, 1U << 30U);
    service.m_max_connections = 1 + any_number_up_to(999);
    service.m_max_queue = *rc::gen::inRange<std::size_t>(0, 1'000'000);
    service.m_cold_rate = any_number_up_to(1000) / 7.0;
    service.m_warm_up = any_duration(seconds(0), std::chrono::hours(24));
    return service;
}

core::customer_table_ptr any_customers()
{
    std::vector<core::customer_config> list;
    for (int i = any_number_up_to(3); i > 0; --i)
    {
        auto const name = "customer-" + std::to_string(i);
        core::customer_config customer{
            name,
            {},
            any_number_up_to(9),
            any_number_up_to(1'000'000) / 3.0,
            any_number_up_to(1'000) / 7.0,
        };
        for (int key = any_number_up_to(2); key > 0; --key)
        {
            customer.m_access_keys.push_back("any!\"\\~key-of-" + name + "-" +
                                             std::to_string(key));
        }
        list.push_back(std::move(customer));
    }
    return list.empty() ? nullptr : core::make_customer_table(std::move(list));
}

core::configuration any_document()
{
    using std::chrono::seconds;
    core::configuration document;
    document.m_generation =
        *rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 53U);
    document.m_change_id = *rc::gen::element<std::string>("", "a", "x-9");
    auto const zones = 1 + any_number_up_to(3);
    for (int i = 0; i < zones; ++i)
    {
        core::zone_config zone;
        zone.m_name = "zone-" + std::to_string(i);
        zone.m_region = *rc::gen::element<std::string>("", "north");
        zone.m_extra_cost = any_duration(seconds(0), seconds(10));
        for (int other = 0; other < zones; ++other)
        {
            if (other != i)
            {
                zone.m_one_way_delay["zone-" + std::to_string(other)] =
                    any_duration(seconds(0), seconds(10));
            }
        }
        // At least one zone is not evacuated.
        zone.m_is_evacuated = i > 0 && *rc::gen::arbitrary<bool>();
        document.m_zones.push_back(std::move(zone));
    }
    document.m_max_entry_hosts = 1 + any_number_up_to(999);
    document.m_address_lifetime = any_duration(seconds(1), seconds(3600));
    document.m_key_lifetime = any_duration(seconds(60), seconds(3600));
    document.m_max_depth = 1 + any_number_up_to(99);
    for (int i = any_number_up_to(4); i > 0; --i)
    {
        document.m_services.push_back(any_service(i, zones));
    }
    document.m_max_owners_per_zone = any_number_up_to(3);
    document.m_caller_idle_timeout = any_duration(seconds(1), seconds(60));
    if (!document.m_services.empty() && *rc::gen::arbitrary<bool>())
    {
        // Every service has this kind.
        core::route_config route;
        route.m_name = "kind-0";
        route.m_host = *rc::gen::element<std::string>("", "map.example");
        route.m_path_prefix = "/path-0/";
        for (auto const& service : document.m_services)
        {
            route.m_parts.push_back(
                {service.m_name, 1 + any_number_up_to(99) / 4.0});
        }
        document.m_routes.push_back(std::move(route));
    }
    document.m_customers = any_customers();
    return document;
}

// The structured bindings below list every member, so that the test does not
// compile after a member was added until that is compared, too.
auto tie_members(core::kind_config const& kind)
{
    auto const& [name, method, prefix, execution, deadline, priority, share,
                 declared, hedge, statuses, latency, attempts, is_public] =
        kind;
    return std::tie(name, method, prefix, execution, deadline, priority, share,
                    declared, hedge, statuses, latency, attempts, is_public);
}

auto tie_members(core::target_config const& target)
{
    // The last three are set in the document in force only.
    auto const& [name, zone, address, port, slots, connections, state,
                 is_evacuated, cold_until, incarnation] = target;
    return std::tie(name, zone, address, port, slots, connections, state);
}

auto tie_members(core::zone_config const& zone)
{
    auto const& [name, region, delay, cost, is_evacuated] = zone;
    return std::tie(name, region, delay, cost, is_evacuated);
}

auto tie_members(core::route_part const& part)
{
    auto const& [service, weight] = part;
    return std::tie(service, weight);
}

auto tie_members(core::customer_config const& customer)
{
    auto const& [name, keys, priority, rate, burst] = customer;
    return std::tie(name, keys, priority, rate, burst);
}

template <class T>
bool are_equal(std::vector<T> const& a, std::vector<T> const& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](T const& x, T const& y)
                      { return tie_members(x) == tie_members(y); });
}

bool are_equal(core::service_config const& a, core::service_config const& b)
{
    auto const& [name, kinds, targets, probe, retry, body, answer, queue,
                 connections, cold_rate, warm_up] = a;
    auto const& [probe_cost, cost, connection, path] = probe;
    auto const& [ratio, burst] = retry;
    return std::tie(name, probe_cost, cost, connection, path, ratio, burst,
                    body, answer, queue, connections, cold_rate, warm_up) ==
               std::tie(b.m_name, b.m_probe_budget.m_cost_per_second,
                        b.m_probe_budget.m_probe_cost,
                        b.m_probe_budget.m_connection_cost,
                        b.m_probe_budget.m_path, b.m_retry_budget.m_ratio,
                        b.m_retry_budget.m_burst, b.m_max_body_bytes,
                        b.m_max_answer_bytes, b.m_max_queue,
                        b.m_max_connections, b.m_cold_rate, b.m_warm_up) &&
           are_equal(kinds, b.m_kinds) && are_equal(targets, b.m_targets);
}

bool are_equal(core::route_config const& a, core::route_config const& b)
{
    auto const& [name, host, prefix, parts] = a;
    return std::tie(name, host, prefix) ==
               std::tie(b.m_name, b.m_host, b.m_path_prefix) &&
           are_equal(parts, b.m_parts);
}

bool are_equal(core::customer_table_ptr const& a,
               core::customer_table_ptr const& b)
{
    return a == nullptr || b == nullptr
               ? a == b
               : are_equal(core::customers(*a), core::customers(*b));
}

bool are_equal(core::configuration const& a, core::configuration const& b)
{
    auto const& [generation, change, zones, hosts, addresses, keys, depth,
                 owners, idle, services, routes, customers, left_out,
                 has_unknown_routes, may_need_keys] = a;
    return std::tie(generation, change, hosts, addresses, keys, depth, owners,
                    idle, has_unknown_routes, may_need_keys) ==
               std::tie(b.m_generation, b.m_change_id, b.m_max_entry_hosts,
                        b.m_address_lifetime, b.m_key_lifetime, b.m_max_depth,
                        b.m_max_owners_per_zone, b.m_caller_idle_timeout,
                        b.m_has_unknown_routes, b.m_may_need_keys) &&
           // Documents of this format are taken whole.
           left_out.empty() && b.m_left_out.empty() &&
           are_equal(customers, b.m_customers) && are_equal(zones, b.m_zones) &&
           std::equal(routes.begin(), routes.end(), b.m_routes.begin(),
                      b.m_routes.end(),
                      [](auto const& x, auto const& y)
                      { return are_equal(x, y); }) &&
           std::equal(services.begin(), services.end(), b.m_services.begin(),
                      b.m_services.end(),
                      [](auto const& x, auto const& y)
                      { return are_equal(x, y); });
}

core::configuration
require_document(parse_result<core::configuration> const& result)
{
    if (auto const* faults = std::get_if<fault_list>(&result))
    {
        RC_FAIL(describe(*faults));
    }
    return std::get<core::configuration>(result);
}

/// Returns the text with a few bytes changed, removed or duplicated.
std::string damage(std::string text)
{
    for (int i = 1 + any_number_up_to(4); i > 0 && !text.empty(); --i)
    {
        auto const position = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (any_number_up_to(2))
        {
        case 0:
            text[position] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(position, *rc::gen::inRange<std::size_t>(1, 40));
            break;
        default:
            text.insert(position, text.substr(position, 30));
            break;
        }
    }
    return text;
}

} // namespace

// Guards against fields that are only printed or only parsed, or that lose
// precision.
TEST_CASE("any valid document is equal after printing and parsing")
{
    CHECK(rc::check(
        []
        {
            auto const document = any_document();
            auto const text = print_document(document);
            auto const parsed = require_document(parse_document(text));
            RC_ASSERT(are_equal(document, parsed));
            RC_ASSERT(print_document(parsed) == text);
        }));
}

// Guards against parts that are joined in another order or lose a field.
TEST_CASE("any valid document is equal after splitting and joining")
{
    CHECK(rc::check(
        []
        {
            auto const document = any_document();
            auto const stored = split_document(document);
            RC_ASSERT(
                are_equal(document, require_document(join_document(stored))));
        }));
}

// Guards against input that crashes the parser, and against accepted input that
// cannot be printed and parsed again.
TEST_CASE("damaged documents are refused or parsed consistently")
{
    CHECK(rc::check(
        []
        {
            auto const text = damage(print_document(any_document()));
            auto const result = parse_document(text);
            if (auto const* accepted =
                    std::get_if<core::configuration>(&result))
            {
                auto const reparsed =
                    require_document(parse_document(print_document(*accepted)));
                RC_ASSERT(are_equal(*accepted, reparsed));
            }
            else
            {
                RC_ASSERT(!std::get<fault_list>(result).empty());
            }
        }));
}

// Guards against input that crashes the parsers because it is not JSON, too
// deep or too long.
TEST_CASE("arbitrary, deeply nested and long texts are refused")
{
    CHECK(rc::check(
        [](std::string const& text)
        {
            RC_ASSERT(std::holds_alternative<fault_list>(parse_settings(text)));
            RC_ASSERT(std::holds_alternative<fault_list>(parse_document(text)));
            RC_ASSERT(std::holds_alternative<fault_list>(parse_head(text)));
        }));
    std::string const deep(900'000, '[');
    CHECK(std::holds_alternative<fault_list>(parse_document(deep)));
    auto const nested = "{\"zones\": " + std::string(400'000, '[') +
                        std::string(400'000, ']') + "}";
    CHECK(std::holds_alternative<fault_list>(parse_document(nested)));
    std::string const long_text(1'000'001, ' ');
    auto const result = parse_document(long_text);
    REQUIRE(std::holds_alternative<fault_list>(result));
    CHECK(std::get<fault_list>(result)[0].m_code ==
          result_code::document_too_large);
}

// Guards against units that lose precision.
TEST_CASE("any duration and size is equal after printing and parsing")
{
    CHECK(rc::check(
        []
        {
            auto const number = *rc::gen::inRange<std::int64_t>(
                0, std::numeric_limits<std::int64_t>::max());
            RC_ASSERT(parse_duration(print_duration(core::duration(number))) ==
                      core::duration(number));
            auto const size = static_cast<std::size_t>(number);
            RC_ASSERT(parse_size(print_size(size)) == size);
        }));
}

} // namespace hawthornspur::config
