#ifndef HAWTHORNSPUR_CLI_COMMAND_HPP
#define HAWTHORNSPUR_CLI_COMMAND_HPP

#include <hawthornspur/result_code.hpp>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace hawthornspur::cli
{

/// Exit codes of all subcommands; docs/command-line.md lists them. The code for
/// wrong use is 1 because Abseil exits with 1 on an invalid flag value.
enum class exit_code : int
{
    success = 0,
    usage = 1,
    invalid_file = 2,
    conflict = 3,
    platform_unavailable = 4,
    not_in_force_everywhere = 5,
    differences_found = 6,
    file_unreadable = 7,
    failure = 8,
};

/// Returns the exit code for the result of a command.
exit_code to_exit_code(result_code code) noexcept;

/// A subcommand.
struct command
{
    /// One or two words, for example "config check".
    std::string m_name;
    /// The operands after the flags, for example "FILE".
    std::string m_operands;
    /// One line for the list of commands.
    std::string m_summary;
    /// Further lines for --help.
    std::string m_details;
    /// Names of the Abseil flags that the command accepts. Flags are global to
    /// the program; dispatch() rejects all others for this command.
    std::vector<std::string> m_flags;
    /// Runs the command on its operands. Returns the exit code of the process.
    std::function<exit_code(std::vector<std::string> const&)> m_run;
};

/// Finds the subcommand, parses its flags and runs it; prints help for "help",
/// --help, -h and wrong use. Returns the exit code of the process.
int dispatch(std::vector<command> const& table,
             std::vector<std::string> arguments);

command make_addresses_command();
command make_drain_command();
command make_serve_command();
command make_status_command();
command make_config_apply_command();
command make_config_check_command();
command make_config_diff_command();
command make_config_history_command();
command make_config_show_command();
command make_config_status_command();
command make_version_command();

} // namespace hawthornspur::cli

#endif
