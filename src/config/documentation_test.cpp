#include "config/document.hpp"
#include "config/settings.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <string>

namespace hawthornspur::config
{

namespace
{

std::string read_page(std::string const& name)
{
    std::ifstream file(HAWTHORNSPUR_SOURCE_DIR "/docs/" + name);
    REQUIRE(file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the first JSON example of a page.
std::string extract_example(std::string const& page)
{
    std::string const opening = "```json\n";
    auto const start = page.find(opening) + opening.size();
    return page.substr(start, page.find("```", start) - start);
}

/// Checks that the page mentions each field of the example.
void check_fields(std::string const& page, std::string const& example)
{
    auto const parsed =
        nlohmann::json::parse(example, nullptr, true, true).flatten();
    for (auto const& [path, value] : parsed.items())
    {
        auto const name = path.substr(path.rfind('/') + 1);
        // List indexes and the zone names in one_way_delay are not fields.
        if (name.find_first_not_of("0123456789") == std::string::npos ||
            path.find("/one_way_delay/") != std::string::npos)
        {
            continue;
        }
        CHECK_MESSAGE(page.find("`" + name + "`") != std::string::npos, name);
    }
}

} // namespace

// Guards against a schema page with an invalid example or without some fields.
// Programs in other languages rely on the page.
TEST_CASE("docs/configuration.md matches the parser and the printer")
{
    auto const page = read_page("configuration.md");
    auto const example = extract_example(page);
    auto const result = parse_document(example);
    if (auto const* faults = std::get_if<fault_list>(&result))
    {
        FAIL(describe(*faults));
    }
    check_fields(page, print_document(std::get<core::configuration>(result)));
}

// Guards against a settings page with an invalid example or without some
// fields.
TEST_CASE("docs/settings.md matches the parser")
{
    auto const page = read_page("settings.md");
    auto const example = extract_example(page);
    auto const result = parse_settings(example);
    if (auto const* faults = std::get_if<fault_list>(&result))
    {
        FAIL(describe(*faults));
    }
    check_fields(page, example);
}

} // namespace hawthornspur::config
