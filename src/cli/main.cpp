#include "cli/command.hpp"

int main(int argc, char** argv)
{
    using namespace hawthornspur::cli;
    // All subcommands, in the order in which help lists them.
    std::vector<command> const table{
        make_serve_command(), make_addresses_command(), make_status_command(),
        make_drain_command(), make_version_command(),
    };
    return dispatch(table, {argv + 1, argv + argc});
}
