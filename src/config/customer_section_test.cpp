#include "config/document.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>

namespace hawthornspur::config
{

namespace
{

constexpr std::string_view zones = R"("zones": [{"name": "a"}])";

/// A document with one zone and these customers.
std::string make_text(std::string const& customers)
{
    return "{" + std::string(zones) + R"(, "services": [], "customers": [)" +
           customers + "]}";
}

std::string customer(std::string const& name, std::string const& fields)
{
    return R"({"name": ")" + name + R"(", )" + fields + "}";
}

fault_list find_faults(std::string const& text)
{
    auto const result = parse_document(text);
    auto const* faults = std::get_if<fault_list>(&result);
    return faults == nullptr ? fault_list() : *faults;
}

struct fault_case
{
    std::string m_customers;
    result_code m_code;
    std::string m_path;
    /// Part of the message: the allowed range.
    std::string m_allowed;
};

std::string const keys = R"("access_keys": ["secret-key-0123456789"])";

} // namespace

// Guards against invalid customers that reach the hosts, and against access
// keys in messages, which are printed and logged.
TEST_CASE("faults of customers are reported without their keys")
{
    using enum result_code;
    std::string const range = "16 to 200 printable";
    auto const cases = std::to_array<fault_case>({
        {customer("x", keys) + "," + customer("y", keys), duplicate_name,
         "customers[1].access_keys[0]", "customers[0].access_keys[0]"},
        {customer("x", R"("access_keys": ["secret-key-0123456789",)"
                       R"("secret-key-0123456789"])"),
         duplicate_name, "customers[0].access_keys[1]", "occurs once"},
        {customer("x", keys) + "," + customer("x", R"("access_keys": [])"),
         duplicate_name, "customers[1].name", "used once"},
        {"{" + keys + "}", missing_field, "customers[0].name", "required"},
        {customer("", keys), value_out_of_range, "customers[0].name",
         "1 to 63"},
        {customer("x", R"("rate": 1)"), missing_field,
         "customers[0].access_keys", "required"},
        {customer("x", keys + R"(, "priority": 10)"), value_out_of_range,
         "customers[0].priority", "0 to 9"},
        {customer("x", keys + R"(, "priority": -1)"), value_out_of_range,
         "customers[0].priority", "0 to 9"},
        {customer("x", keys + R"(, "rate": -0.5)"), value_out_of_range,
         "customers[0].rate", "0.0 to 1000000000.0"},
        {customer("x", keys + R"(, "rate": 1e10)"), value_out_of_range,
         "customers[0].rate", "0.0 to 1000000000.0"},
        {customer("x", keys + R"(, "rate": null)"), wrong_type,
         "customers[0].rate", "0.0 to 1000000000.0"},
        {customer("x", keys + R"(, "burst": -1)"), value_out_of_range,
         "customers[0].burst", "0.0 to 1000000000.0"},
        {customer("x", keys + R"(, "burst": 1e999)"), document_syntax, "",
         "too large"},
        {customer("x", R"("access_keys": ["secret"])"), value_out_of_range,
         "customers[0].access_keys[0]", range},
        {customer("x", R"("access_keys": ["secret key 0123456789"])"),
         value_out_of_range, "customers[0].access_keys[0]", range},
        {customer("x", R"("access_keys": ["secret-key\u00010123456789"])"),
         value_out_of_range, "customers[0].access_keys[0]", range},
        {customer("x", R"("access_keys": ["secret)" + std::string(195, 'x') +
                           R"("])"),
         value_out_of_range, "customers[0].access_keys[0]", range},
        {customer("x", R"("access_keys": [12345678901234567])"), wrong_type,
         "customers[0].access_keys[0]", range},
        {customer("x", R"("access_keys": "secret-key-0123456789")"), wrong_type,
         "customers[0].access_keys", "a list of 0 to 100"},
        {customer("x", keys + R"(, "key": "secret-key-0123456789")"),
         unknown_field, "customers[0].key", "access_keys"},
    });
    for (auto const& entry : cases)
    {
        CAPTURE(entry.m_customers);
        auto const faults = find_faults(make_text(entry.m_customers));
        auto const text = describe(faults);
        CAPTURE(text);
        CHECK(text.find("secret") == std::string::npos);
        CHECK(text.find("12345678901234567") == std::string::npos);
        CHECK(std::any_of(faults.begin(), faults.end(),
                          [&](document_fault const& fault)
                          {
                              return fault.m_code == entry.m_code &&
                                     fault.m_path == entry.m_path &&
                                     fault.m_message.find(entry.m_allowed) !=
                                         std::string::npos;
                          }));
    }
}

// Guards against customers whose last key cannot be withdrawn, and against keys
// in the form that persons read.
TEST_CASE("customers are printed with keys or with their digests")
{
    auto const parsed = parse_document(make_text(
        customer("x", keys) + "," + customer("y", R"("access_keys": [])")));
    REQUIRE(std::holds_alternative<core::configuration>(parsed));
    auto const& document = std::get<core::configuration>(parsed);
    CHECK(core::customers(*document.m_customers).size() == 2);
    CHECK(print_document(document).find("secret-key-0123456789") !=
          std::string::npos);
    auto const shown = print_document(document, key_form::digest);
    CHECK(shown.find("secret") == std::string::npos);
    CHECK(shown.find(content_hash("secret-key-0123456789").substr(0, 8)) !=
          std::string::npos);
    // A shown document that is applied must not replace the keys by digests.
    CHECK(find_faults(shown).at(0).m_path == "customers[0].access_keys[0]");
}

// Guards against a document that leaves no zone to send requests to.
TEST_CASE("the evacuation of all zones is refused")
{
    std::string const text =
        R"({"services": [], "zones": [
            {"name": "a", "evacuated": true, "one_way_delay": {"b": "1ms"}},
            {"name": "b", "one_way_delay": {"a": "1ms"}}]})";
    CHECK(find_faults(text).empty());
    auto both = text;
    both.insert(both.find("\"name\": \"b\""), "\"evacuated\": true, ");
    auto const faults = find_faults(both);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].m_path == "zones");
    CHECK(faults[0].m_code == result_code::value_out_of_range);
}

// Guards against a list of customers that is stored although hosts refuse its
// text, and against one of this size that cannot be checked.
TEST_CASE("many customers are accepted up to the size limit of documents")
{
    auto const make_list = [](int count, int keys_each)
    {
        std::vector<core::customer_config> list;
        for (int i = 0; i < count; ++i)
        {
            auto& added = list.emplace_back();
            added.m_name = "c" + std::to_string(i);
            for (int j = 0; j < keys_each; ++j)
            {
                added.m_access_keys.push_back("0123456789-" +
                                              std::to_string(10 * i + j));
                added.m_access_keys.back().resize(16, '.');
            }
        }
        core::configuration document;
        document.m_zones.push_back({"a", "", {}, {}});
        document.m_customers = core::make_customer_table(std::move(list));
        return join_document(split_document(document));
    };
    CHECK(std::holds_alternative<core::configuration>(make_list(10'000, 1)));
    auto const refused = make_list(10'000, 10);
    REQUIRE(std::holds_alternative<fault_list>(refused));
    CHECK(std::get<fault_list>(refused)[0].m_code ==
          result_code::document_too_large);
}

} // namespace hawthornspur::config
