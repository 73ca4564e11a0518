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

/// The command whose words begin the arguments; the longest name wins.
command const* find_command(std::vector<command> const& table,
                            std::vector<std::string> const& arguments)
{
    command const* best = nullptr;
    std::string words;
    for (auto const& argument : arguments)
    {
        words += (words.empty() ? "" : " ") + argument;
        auto const found =
            std::find_if(table.begin(), table.end(),
                         [&](command const& c) { return c.m_name == words; });
        if (found != table.end())
        {
            best = &*found;
        }
    }
    return best;
}

std::size_t word_count(std::string const& name)
{
    return 1 +
           static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

/// The first flag that the command does not take, or an empty text.
std::string foreign_flag(command const& entry,
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
        // Abseil takes --noNAME for a flag that is true or false.
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

bool asks_for_help(std::vector<std::string> const& arguments)
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

int fail_usage(std::string const& message)
{
    std::cerr << program << ": " << message << " ("
              << static_cast<unsigned>(result_code::usage) << " usage)\n";
    return static_cast<int>(exit_code::usage);
}

} // namespace

int dispatch(std::vector<command> const& table,
             std::vector<std::string> arguments)
{
    auto const wants_list =
        !arguments.empty() &&
        (arguments.front() == "help" || arguments.front() == "--help" ||
         arguments.front() == "-h");
    if (wants_list)
    {
        arguments.erase(arguments.begin());
    }
    auto const* entry = find_command(table, arguments);
    if (entry == nullptr)
    {
        if (wants_list && arguments.empty())
        {
            print_overview(table, std::cout);
            return static_cast<int>(exit_code::success);
        }
        print_overview(table, std::cerr);
        return fail_usage(arguments.empty()
                              ? "no command given"
                              : "unknown command " + arguments.front());
    }
    auto const words = static_cast<std::ptrdiff_t>(word_count(entry->m_name));
    arguments.erase(arguments.begin(), arguments.begin() + words);
    if (wants_list || asks_for_help(arguments))
    {
        print_help(*entry, std::cout);
        return static_cast<int>(exit_code::success);
    }
    auto const foreign = foreign_flag(*entry, arguments);
    if (!foreign.empty())
    {
        return fail_usage(entry->m_name + " does not take " + foreign);
    }
    return static_cast<int>(entry->m_run(parse_flags(std::move(arguments))));
}

} // namespace hawthornspur::cli
