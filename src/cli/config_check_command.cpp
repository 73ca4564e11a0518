#include "cli/command.hpp"
#include "cli/document_file.hpp"
#include "platform/operator_document.hpp"

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(bool, operators, false,
          "FILE is a document that operators write to the users' platform.");

namespace hawthornspur::cli
{

namespace
{

/// Prints what hosts do with an operators' document.
exit_code check_operator_document(std::string const& path)
{
    auto const text = read_text(path);
    if (!has_value(text))
    {
        return print_error(failure(text));
    }
    auto const document = adapter::read_operator_document(value(text));
    if (!has_value(document))
    {
        return print_error(
            make_error(result_code::document_syntax,
                       path + ": " + failure(document).m_message));
    }
    auto const& left_out = value(document).m_left_out;
    for (auto const& entry : left_out)
    {
        std::cout << "left out: "
                  << (entry.m_kind.empty() ? "entry of no kind" : entry.m_kind)
                  << " \"" << entry.m_name << "\": " << entry.m_reason << "\n";
    }
    std::cout << path << ": version " << value(document).m_generation << ", "
              << value(document).m_routes.size() << " routes, "
              << left_out.size() << " entries left out\n";
    return left_out.empty() ? exit_code::success : exit_code::invalid_file;
}

exit_code run_check(std::vector<std::string> const& operands)
{
    if (operands.size() != 1)
    {
        return print_usage("config check takes one FILE");
    }
    if (absl::GetFlag(FLAGS_operators))
    {
        return check_operator_document(operands.front());
    }
    auto const document = read_document(operands.front());
    if (!has_value(document))
    {
        return print_error(failure(document));
    }
    auto const& configuration = value(document);
    std::size_t targets = 0;
    for (auto const& service : configuration.m_services)
    {
        targets += service.m_targets.size();
    }
    std::cout << operands.front() << ": no faults; "
              << configuration.m_zones.size() << " zones, "
              << configuration.m_services.size() << " services, " << targets
              << " targets\n";
    return exit_code::success;
}

} // namespace

command make_config_check_command()
{
    return {
        .m_name = "config check",
        .m_operands = "FILE",
        .m_summary = "Check a document and print all its faults.",
        .m_details =
            "FILE is a configuration document (docs/configuration.md), - "
            "is the standard\ninput. Nothing is sent. With --operators, FILE "
            "is a document of the users'\nplatform, and the entries that "
            "hosts would leave out are printed.\n\nExit codes: 0 no "
            "faults, 2 faults, 7 the file cannot be read.",
        .m_flags = {"operators"},
        .m_run = run_check};
}

} // namespace hawthornspur::cli
