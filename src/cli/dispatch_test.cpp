#include "cli/command.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::cli
{

namespace
{

std::vector<command> make_recording_table(std::vector<std::string>& calls)
{
    auto const record = [&calls](std::string name)
    {
        return [&calls, name](std::vector<std::string> const& operands)
        {
            calls.push_back(name);
            calls.insert(calls.end(), operands.begin(), operands.end());
            return exit_code::success;
        };
    };
    return {{"show", "", "", "", {}, record("show")},
            {"show all", "FILE", "", "", {}, record("show all")}};
}

} // namespace

// Guards against operands that are parsed as a part of the command name, and
// against flags of other commands that are silently ignored.
TEST_CASE("the longest command name matches and unsupported flags are rejected")
{
    std::vector<std::string> calls;
    auto const table = make_recording_table(calls);
    CHECK(dispatch(table, {"show", "all", "file"}) == 0);
    CHECK(calls == std::vector<std::string>{"show all", "file"});
    calls.clear();
    CHECK(dispatch(table, {"show", "file"}) == 0);
    CHECK(calls == std::vector<std::string>{"show", "file"});
    calls.clear();
    for (auto const& wrong : std::vector<std::vector<std::string>>{
             {}, {"hide"}, {"show", "--wait=5s"}, {"help", "hide"}})
    {
        CHECK(dispatch(table, wrong) == 1);
    }
    CHECK(dispatch(table, {"help"}) == 0);
    CHECK(dispatch(table, {"show", "--help"}) == 0);
    CHECK(calls.empty());
}

// Guards against changed exit codes, on which operators' scripts depend.
TEST_CASE("results have the documented exit codes")
{
    CHECK(to_exit_code(result_code::ok) == exit_code{0});
    CHECK(to_exit_code(result_code::usage) == exit_code{1});
    CHECK(to_exit_code(result_code::unknown_reference) == exit_code{2});
    CHECK(to_exit_code(result_code::version_conflict) == exit_code{3});
    CHECK(to_exit_code(result_code::store_unavailable) == exit_code{4});
    CHECK(to_exit_code(result_code::not_in_force_everywhere) == exit_code{5});
    CHECK(to_exit_code(result_code::file_unreadable) == exit_code{7});
    CHECK(to_exit_code(result_code::system_failure) == exit_code{8});
}

} // namespace hawthornspur::cli
