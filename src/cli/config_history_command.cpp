#include "cli/command.hpp"
#include "cli/document_file.hpp"
#include "cli/platform_session.hpp"

#include <iostream>

namespace hawthornspur::cli
{

namespace
{

using heads = std::vector<config::document_head>;

exit_code run_history(std::vector<std::string> const& operands)
{
    if (!operands.empty())
    {
        return print_usage("config history takes no operands");
    }
    auto session = open_session();
    if (!has_value(session))
    {
        return print_error(failure(session));
    }
    auto const history =
        run_call<heads>(*value(session), [&](platform::callback<heads> done)
                        { value(session)->m_store->history(std::move(done)); });
    if (!has_value(history))
    {
        return print_error(failure(history));
    }
    for (auto const& head : value(history))
    {
        std::cout << "generation " << head.m_generation << ", change "
                  << head.m_change_id << ", " << head.m_parts.size()
                  << " parts\n";
    }
    return exit_code::success;
}

} // namespace

command make_config_history_command()
{
    return {.m_name = "config history",
            .m_operands = "",
            .m_summary = "List the stored generations, newest first.",
            .m_details =
                "The store keeps the last 20. config show --generation=N "
                "prints one of them.\n\nExit codes: 0 listed, 4 the platform "
                "did not answer.",
            .m_flags = platform_flags(),
            .m_run = run_history};
}

} // namespace hawthornspur::cli
