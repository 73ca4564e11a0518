#include <hawthornspur/result_code.hpp>

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <set>
#include <string>

namespace hawthornspur
{

// Guards against rows out of order, for which info() would return a wrong row,
// and against ambiguous names.
TEST_CASE("the table of result codes is sorted and its names are unique")
{
    std::set<std::string_view> names;
    std::uint16_t previous = 0;
    for (auto const& row : result_code_table())
    {
        auto const number = static_cast<std::uint16_t>(row.m_code);
        CHECK((number == 0 || number > previous));
        previous = number;
        CHECK(names.insert(row.m_name).second);
        CHECK(&info(row.m_code) == &row);
    }
}

// Guards against a documentation page that differs from the table.
TEST_CASE("docs/result-codes.md has every row of the table")
{
    std::ifstream file(HAWTHORNSPUR_SOURCE_DIR "/docs/result-codes.md");
    REQUIRE(file.good());
    std::string const page{std::istreambuf_iterator<char>(file), {}};
    for (auto const& row : result_code_table())
    {
        auto const line =
            "| " + std::to_string(static_cast<unsigned>(row.m_code)) + " | `" +
            std::string(row.m_name) + "` | " +
            std::string(to_string(row.m_execution)) + " | " +
            (row.m_http_status == 0 ? std::string("-")
                                    : std::to_string(row.m_http_status)) +
            " | " + std::string(row.m_meaning) + " |\n";
        CHECK_MESSAGE(page.find(line) != std::string::npos, line);
    }
}

// Guards against codes whose range contradicts their meaning: 3xxx is "may have
// run", 4xxx is "ran", 5xxx and above are not about requests.
TEST_CASE("the range of a code matches its execution")
{
    for (auto const& row : result_code_table())
    {
        auto const range = static_cast<unsigned>(row.m_code) / 1000;
        CAPTURE(row.m_name);
        if (range == 3)
        {
            CHECK(row.m_execution == execution::unknown);
        }
        if (range == 4)
        {
            CHECK(row.m_execution == execution::ran);
        }
        if (range >= 5 || range == 0)
        {
            CHECK(row.m_execution == execution::not_applicable);
        }
    }
}

// Guards against HTTP statuses that callers interpret as "not run" for requests
// that may have run.
TEST_CASE("HTTP statuses that mean not run are used for such codes only")
{
    for (auto const& row : result_code_table())
    {
        for (int const not_run_status : {408, 421, 429, 503})
        {
            CAPTURE(row.m_name);
            CHECK((row.m_http_status != not_run_status ||
                   row.m_execution == execution::not_run));
        }
    }
}

} // namespace hawthornspur
