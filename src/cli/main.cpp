#include "cli/command.hpp"

int main(int argc, char** argv)
{
    using namespace hawthornspur::cli;
    // The help lists the subcommands in this order.
    std::vector<command> table;
    table.push_back(make_serve_command());
    table.push_back(make_addresses_command());
    table.push_back(make_status_command());
    table.push_back(make_drain_command());
    table.push_back(make_config_check_command());
    table.push_back(make_config_diff_command());
    table.push_back(make_config_apply_command());
    table.push_back(make_config_show_command());
    table.push_back(make_config_history_command());
    table.push_back(make_config_status_command());
    table.push_back(make_version_command());
    return dispatch(table, {argv + 1, argv + argc});
}
