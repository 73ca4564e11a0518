#include "cli/command.hpp"
#include "cli/document_file.hpp"

#include <iostream>

namespace hawthornspur::cli
{

namespace
{

exit_code run_check(std::vector<std::string> const& operands)
{
    if (operands.size() != 1)
    {
        return print_usage("config check takes one FILE");
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
    return {.m_name = "config check",
            .m_operands = "FILE",
            .m_summary = "Check a document and print all its faults.",
            .m_details =
                "FILE is a configuration document (docs/configuration.md), - "
                "is the standard\ninput. Nothing is sent.\n\nExit codes: 0 no "
                "faults, 2 faults, 7 the file cannot be read.",
            .m_flags = {},
            .m_run = run_check};
}

} // namespace hawthornspur::cli
