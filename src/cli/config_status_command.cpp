#include "cli/command.hpp"
#include "cli/document_file.hpp"
#include "cli/host_generations.hpp"
#include "cli/platform_session.hpp"

#include <iostream>

namespace hawthornspur::cli
{

namespace
{

using platform::loaded_configuration;

exit_code run_status(std::vector<std::string> const& operands)
{
    if (!operands.empty())
    {
        return print_usage("config status takes no operands");
    }
    auto session = open_session();
    if (!has_value(session))
    {
        return print_error(failure(session));
    }
    auto const loaded = run_call<loaded_configuration>(
        *value(session), [&](platform::callback<loaded_configuration> done)
        { value(session)->m_store->load(std::move(done)); });
    if (!has_value(loaded))
    {
        return print_error(failure(loaded));
    }
    auto const generation = value(loaded).m_document.m_generation;
    std::cout << "stored: generation " << generation << ", change "
              << value(loaded).m_document.m_change_id << "\n";
    auto hosts = find_hosts(*value(session));
    if (!has_value(hosts))
    {
        return print_error(failure(hosts));
    }
    query_hosts(*value(session), value(hosts));
    for (auto const& host : value(hosts))
    {
        std::cout << describe(host) << "\n";
    }
    auto const in_force = count_in_force(value(hosts), generation);
    std::cout << "in force on " << in_force << " of " << value(hosts).size()
              << " hosts\n";
    return in_force == value(hosts).size() ? exit_code::success
                                           : exit_code::not_in_force_everywhere;
}

} // namespace

command make_config_status_command()
{
    auto flags = platform_flags();
    for (auto& flag : host_flags())
    {
        flags.push_back(std::move(flag));
    }
    return {.m_name = "config status",
            .m_operands = "",
            .m_summary = "Show which generation each host has in force.",
            .m_details =
                "Queries the administration address of every live entry host "
                "once.\n\nExit codes: 0 the stored generation is in force "
                "everywhere, 5 it is not,\n4 the platform did not answer, 8 no "
                "configuration is stored.",
            .m_flags = std::move(flags),
            .m_run = run_status};
}

} // namespace hawthornspur::cli
