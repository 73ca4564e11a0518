#include "cli/command.hpp"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <iostream>
#include <utility>

namespace hawthornspur::cli
{

namespace
{

constexpr std::string_view program = "hawthornspur";

void print_overview(std::vector<command> const& table, std::ostream& out)
{
    constexpr std::size_t column = 18;
    out << "Usage: " << program << " COMMAND [FLAGS] [OPERANDS]\n\nCommands:\n";
    for (auto const& entry : table)
    {
        auto const padding = column - std::min(column, entry.m_name.size());
        out << "  " << entry.m_name << std::string(padding, ' ')
            << entry.m_summary << "\n";
    }
    out << "  help              Print this list, or the help of a command.\n"
           "\n"
        << program << " COMMAND --help describes the command's flags.\n";
}

void print_help(command const& entry, std::ostream& out)
{
    out << "Usage: " << program << " " << entry.m_name
        << (entry.m_flags.empty() ? "" : " [FLAGS]")
        << (entry.m_operands.empty() ? "" : " ") << entry.m_operands << "\n\n"
        << entry.m_summary << "\n";
    if (!entry.m_details.empty())
    {
        out << entry.m_details << "\n";
    }
    if (!entry.m_flags.empty())
    {
        out << "\nFlags:\n";
    }
    for (auto const& name : entry.m_flags)
    {
        auto const* flag = absl::FindCommandLineFlag(name);
        if (flag != nullptr)
        {
            out << "  --" << name << " (default: \"" << flag->DefaultValue()
                << "\")\n      " << flag->Help() << "\n";
        }
    }
}

/// Returns the command with the longest name that the arguments begin with, or
/// null.
command const* find_command(std::vector<command> const& table,
                            std::vector<std::string> const& arguments)
{
    command const* best = nullptr;
    std::string words;
    for (auto const& argument : arguments)
    {
        words += (words.empty() ? "" : " ") + argument;
        auto const found = std::find_if(table.begin(), table.end(),
                                        [&](command const& candidate)
                                        { return candidate.m_name == words; });
        if (found != table.end())
        {
            best = &*found;
        }
    }
    return best;
}

std::size_t count_words(std::string const& name)
{
    return 1 +
           static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

/// Returns the first flag that the command does not accept, or an empty text.
std::string find_unsupported_flag(command const& entry,
                                  std::vector<std::string> const& arguments)
{
    for (auto const& argument : arguments)
    {
        if (argument == "--")
        {
            break;
        }
        if (argument.size() < 2 || argument.front() != '-')
        {
            continue;
        }
        auto const start = argument.find_first_not_of('-');
        auto const name =
            start == std::string::npos
                ? std::string()
                : argument.substr(start, argument.find('=') - start);
        // Abseil also accepts --noNAME for a boolean flag.
        auto const is_named = [&](std::string const& flag)
        {
            return name == flag || name == "no" + flag;
        };
        if (std::none_of(entry.m_flags.begin(), entry.m_flags.end(), is_named))
        {
            return argument;
        }
    }
    return {};
}

bool has_help_flag(std::vector<std::string> const& arguments)
{
    return std::any_of(arguments.begin(), arguments.end(),
                       [](std::string const& argument)
                       { return argument == "--help" || argument == "-h"; });
}

std::vector<std::string> parse_flags(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), std::string(program));
    std::vector<char*> raw;
    raw.reserve(arguments.size());
    for (auto& argument : arguments)
    {
        raw.push_back(argument.data());
    }
    auto const rest =
        absl::ParseCommandLine(static_cast<int>(raw.size()), raw.data());
    return {rest.begin() + 1, rest.end()};
}

int print_usage_error(std::string const& message)
{
    std::cerr << program << ": " << message << " ("
              << static_cast<unsigned>(result_code::usage) << " usage)\n";
    return static_cast<int>(exit_code::usage);
}

} // namespace

int dispatch(std::vector<command> const& table,
             std::vector<std::string> arguments)
{
    auto const is_help_request =
        !arguments.empty() &&
        (arguments.front() == "help" || arguments.front() == "--help" ||
         arguments.front() == "-h");
    if (is_help_request)
    {
        arguments.erase(arguments.begin());
    }
    auto const* entry = find_command(table, arguments);
    if (entry == nullptr)
    {
        if (is_help_request && arguments.empty())
        {
            print_overview(table, std::cout);
            return static_cast<int>(exit_code::success);
        }
        print_overview(table, std::cerr);
        return print_usage_error(arguments.empty()
                                     ? "no command given"
                                     : "unknown command " + arguments.front());
    }
    auto const words = static_cast<std::ptrdiff_t>(count_words(entry->m_name));
    arguments.erase(arguments.begin(), arguments.begin() + words);
    if (is_help_request || has_help_flag(arguments))
    {
        print_help(*entry, std::cout);
        return static_cast<int>(exit_code::success);
    }
    auto const unsupported_flag = find_unsupported_flag(*entry, arguments);
    if (!unsupported_flag.empty())
    {
        return print_usage_error(entry->m_name + " does not take " +
                                 unsupported_flag);
    }
    return static_cast<int>(entry->m_run(parse_flags(std::move(arguments))));
}

} // namespace hawthornspur::cli
