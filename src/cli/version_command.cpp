#include "cli/command.hpp"

#include <iostream>

namespace hawthornspur::cli
{

namespace
{

exit_code run_version(std::vector<std::string> const& /*operands*/)
{
    std::cout << "hawthornspur " << HAWTHORNSPUR_VERSION << "\n";
    return exit_code::success;
}

} // namespace

command make_version_command()
{
    return {.m_name = "version",
            .m_operands = "",
            .m_summary = "Print the version.",
            .m_details = "",
            .m_flags = {},
            .m_run = run_version};
}

} // namespace hawthornspur::cli
