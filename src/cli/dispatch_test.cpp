#include "cli/command.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::cli
{

namespace
{

std::vector<command> table_that_records(std::vector<std::string>& seen)
{
    auto const record = [&seen](std::string name)
    {
        return [&seen, name](std::vector<std::string> const& operands)
        {
            seen.push_back(name);
            seen.insert(seen.end(), operands.begin(), operands.end());
            return exit_code::success;
        };
    };
    return {{"show", "", "", "", {}, record("show")},
            {"show all", "FILE", "", "", {}, record("show all")}};
}

} // namespace

// Guards against operands that are taken for a part of the command, and
// against a flag of another command that is silently ignored.
TEST_CASE("the longest command is run and foreign flags are refused")
{
    std::vector<std::string> seen;
    auto const table = table_that_records(seen);
    CHECK(dispatch(table, {"show", "all", "file"}) == 0);
    CHECK(seen == std::vector<std::string>{"show all", "file"});
    seen.clear();
    CHECK(dispatch(table, {"show", "file"}) == 0);
    CHECK(seen == std::vector<std::string>{"show", "file"});
    seen.clear();
    for (auto const& wrong : std::vector<std::vector<std::string>>{
             {}, {"hide"}, {"show", "--wait=5s"}, {"help", "hide"}})
    {
        CHECK(dispatch(table, wrong) == 1);
    }
    CHECK(dispatch(table, {"help"}) == 0);
    CHECK(dispatch(table, {"show", "--help"}) == 0);
    CHECK(seen.empty());
}

// Guards against exit codes that change their meaning under scripts.
TEST_CASE("results have the documented exit codes")
{
    CHECK(exit_code_of(result_code::ok) == exit_code{0});
    CHECK(exit_code_of(result_code::usage) == exit_code{1});
    CHECK(exit_code_of(result_code::unknown_reference) == exit_code{2});
    CHECK(exit_code_of(result_code::version_conflict) == exit_code{3});
    CHECK(exit_code_of(result_code::store_unavailable) == exit_code{4});
    CHECK(exit_code_of(result_code::not_in_force_everywhere) == exit_code{5});
    CHECK(exit_code_of(result_code::file_unreadable) == exit_code{7});
    CHECK(exit_code_of(result_code::system_failure) == exit_code{8});
}

} // namespace hawthornspur::cli
