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

std::string example_of(std::string const& page)
{
    std::string const opening = "```json\n";
    auto const start = page.find(opening) + opening.size();
    return page.substr(start, page.find("```", start) - start);
}

/// Every field of the example is described by a row of a table on the page.
void check_fields(std::string const& page, std::string const& example)
{
    auto const parsed =
        nlohmann::json::parse(example, nullptr, true, true).flatten();
    for (auto const& [path, value] : parsed.items())
    {
        auto const name = path.substr(path.rfind('/') + 1);
        // List positions, and zone names in one_way_delay, are no fields.
        if (name.find_first_not_of("0123456789") == std::string::npos ||
            path.find("/one_way_delay/") != std::string::npos)
        {
            continue;
        }
        CHECK_MESSAGE(page.find("`" + name + "`") != std::string::npos, name);
    }
}

} // namespace

// Guards against a schema page whose example the check refuses, and against
// fields that the page leaves out: programs in other languages follow it.
TEST_CASE("docs/configuration.md matches the parser and the printer")
{
    auto const page = read_page("configuration.md");
    auto const example = example_of(page);
    auto const result = parse_document(example);
    if (auto const* faults = std::get_if<fault_list>(&result))
    {
        FAIL(describe(*faults));
    }
    check_fields(page, print_document(std::get<core::configuration>(result)));
}

// Guards against the same faults of the page on settings.
TEST_CASE("docs/settings.md matches the parser")
{
    auto const page = read_page("settings.md");
    auto const example = example_of(page);
    auto const result = parse_settings(example);
    if (auto const* faults = std::get_if<fault_list>(&result))
    {
        FAIL(describe(*faults));
    }
    check_fields(page, example);
}

} // namespace hawthornspur::config
