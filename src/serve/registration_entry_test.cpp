#include "serve/registration_entry.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace hawthornspur::serve
{

// Guards against a host that dials another port than the entry states, or whose
// capacity depends on the processor that converts it.
TEST_CASE("registration entries with numbers out of range are left out")
{
    std::string const valid_entry =
        R"({"name":"entry-1","zone":"a","address":"10.0.0.9",)"
        R"("callers_port":8080,"peers_port":8081,"millicores":500})";
    auto const entry = parse_registration_entry(valid_entry);
    REQUIRE(entry);
    CHECK(entry->m_port == 8080);
    CHECK(entry->m_peer_port == 8081);
    CHECK(entry->m_millicores == 500);
    for (auto const* field : {"callers_port", "peers_port", "millicores"})
    {
        for (auto const* number :
             {"1e300", "1e999", "-1", "1.5", "true", "\"80\"", "99999999999",
              "18446744073709551616", "NaN"})
        {
            auto text = valid_entry;
            auto const begin = text.find(':', text.find(field)) + 1;
            text.replace(begin, text.find_first_of(",}", begin) - begin,
                         number);
            CAPTURE(text);
            CHECK(!parse_registration_entry(text));
        }
    }
    auto text = valid_entry;
    text.replace(text.find("8080"), 4, "65536");
    CHECK(!parse_registration_entry(text));
}

// Guards against a host that ends because of another writer's entry.
TEST_CASE("unreadable registration entries are left out")
{
    constexpr std::size_t depth = 100'000;
    for (auto const& text :
         {std::string(), std::string("\xff"), std::string(depth, '['),
          std::string(depth, '[') + std::string(depth, ']'),
          R"({"name":)" + std::string(depth, '[') + std::string(depth, ']') +
              "}"})
    {
        CHECK(!parse_registration_entry(text));
    }
}

} // namespace hawthornspur::serve
