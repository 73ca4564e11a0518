#include "config/document.hpp"
#include <hawthornspur/configuration_builder.hpp>

#include <doctest/doctest.h>

#include <limits>
#include <type_traits>

namespace hawthornspur
{

namespace
{

template <class T>
concept has_hedge = requires(T kind)
{
    kind.m_hedge;
};

template <class T>
concept accepts_text_as_zone = requires(T target)
{
    target.m_zone = "a";
};

// Guards against programs that compile although their document is invalid:
// hedging of an at-most-once kind, an undeclared zone, a plain number as a
// share or a time.
static_assert(has_hedge<idempotent_kind>);
static_assert(!has_hedge<at_most_once_kind>);
static_assert(!accepts_text_as_zone<target_declaration>);
static_assert(!std::is_constructible_v<zone_name, char const*>);
static_assert(!std::is_convertible_v<double, slot_share>);
static_assert(!std::is_convertible_v<int, std::chrono::milliseconds>);

void add_small_service(configuration_builder& builder, zone_name const& zone)
{
    builder.add_service("map")
        .add(idempotent_kind{
            {.m_name = "page", .m_path_prefix = "/", .m_priority = 2}, true})
        .add(target_declaration{"map-1", zone, "127.0.0.1", 9001, 3});
}

} // namespace

// Guards against declarations that are missing or different in the document.
TEST_CASE("a declared document is printed and can be parsed")
{
    configuration_builder builder;
    auto const a = builder.add_zone("a");
    auto const b = builder.add_zone("b", "north");
    builder.set_based_on(4).set_one_way_delay(a, b,
                                              std::chrono::milliseconds(5));
    add_small_service(builder, b);
    auto const printed = builder.print();
    REQUIRE(std::holds_alternative<std::string>(printed));
    auto const parsed = config::parse_document(std::get<std::string>(printed));
    auto const& document = std::get<core::configuration>(parsed);
    CHECK(document.m_generation == 4);
    CHECK(document.m_zones[1].m_one_way_delay.at("a") ==
          std::chrono::milliseconds(5));
    CHECK(document.m_services[0].m_kinds[0].m_hedge);
    CHECK(document.m_services[0].m_targets[0].m_zone == "b");
}

// Guards against customers, public kinds, cold rates and evacuations that are
// missing in the document.
TEST_CASE("customers, public kinds, cold rates and evacuations are printed")
{
    configuration_builder builder;
    auto const a = builder.add_zone("a");
    auto const b = builder.add_zone("b");
    builder.set_one_way_delay(a, b, std::chrono::milliseconds(5))
        .set_evacuated(b)
        .add(customer_declaration{
            "plaza", {"plaza-key-0123456789"}, 1, 20, 5.5});
    builder.add_service("map")
        .add(idempotent_kind{
            {.m_name = "page", .m_path_prefix = "/", .m_is_public = true}})
        .set_cold_rate(4.7, std::chrono::seconds(3));
    auto const printed = builder.print();
    REQUIRE(std::holds_alternative<std::string>(printed));
    auto const parsed = config::parse_document(std::get<std::string>(printed));
    auto const& document = std::get<core::configuration>(parsed);
    auto const* plaza = core::find_customer_by_key(*document.m_customers,
                                                   "plaza-key-0123456789");
    REQUIRE(plaza != nullptr);
    CHECK(plaza->m_name == "plaza");
    CHECK(plaza->m_priority == 1);
    CHECK(plaza->m_rate == 20);
    CHECK(plaza->m_burst == 5.5);
    CHECK_FALSE(document.m_zones[0].m_is_evacuated);
    CHECK(document.m_zones[1].m_is_evacuated);
    CHECK(document.m_services[0].m_kinds[0].m_is_public);
    CHECK(document.m_services[0].m_cold_rate == 4.7);
    CHECK(document.m_services[0].m_warm_up == std::chrono::seconds(3));
}

// Guards against numbers that JSON cannot hold and that become no limit.
TEST_CASE("a rate that is not finite is a fault")
{
    for (auto const rate : {std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity(), -1.0})
    {
        configuration_builder builder;
        builder.add_zone("a");
        builder.add(customer_declaration{"plaza", {}, 4, rate, 0})
            .add(customer_declaration{"feria", {}, 4, 0, rate});
        auto const printed = builder.print();
        auto const* faults =
            std::get_if<std::vector<configuration_fault>>(&printed);
        REQUIRE(faults != nullptr);
        REQUIRE(faults->size() == 2);
        CHECK((*faults)[0].m_path == "customers[0].rate");
        CHECK((*faults)[1].m_path == "customers[1].burst");
    }
}

// Guards against invalid values that the types cannot exclude and that would be
// found only when the document is applied.
TEST_CASE("faults of a declared document are reported with code and path")
{
    configuration_builder builder;
    configuration_builder other;
    auto const a = builder.add_zone("a");
    auto const undeclared = other.add_zone("elsewhere");
    add_small_service(builder, undeclared);
    add_small_service(builder, a);
    builder.set_address_lifetime(std::chrono::seconds(-1));
    auto const printed = builder.print();
    REQUIRE(std::holds_alternative<std::vector<configuration_fault>>(printed));
    auto const& faults = std::get<std::vector<configuration_fault>>(printed);
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].m_code == result_code::value_out_of_range);
    CHECK(faults[0].m_path == "address_lifetime");
    CHECK(faults[1].m_code == result_code::duplicate_name);
    CHECK(faults[1].m_path == "services[1].name");
    CHECK(faults[2].m_code == result_code::unknown_reference);
    CHECK(faults[2].m_path == "services[0].targets[0].zone");
}

} // namespace hawthornspur
