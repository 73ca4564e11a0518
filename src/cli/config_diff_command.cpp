#include "cli/command.hpp"
#include "cli/document_file.hpp"
#include "cli/platform_session.hpp"
#include "config/difference.hpp"

#include <iostream>

namespace hawthornspur::cli
{

namespace
{

using platform::loaded_configuration;

result<core::configuration> load_stored()
{
    auto session = open_session();
    if (!has_value(session))
    {
        return failure(session);
    }
    auto loaded = run_call<loaded_configuration>(
        *value(session), [&](platform::callback<loaded_configuration> done)
        { value(session)->m_store->load(std::move(done)); });
    if (!has_value(loaded))
    {
        return failure(loaded);
    }
    return std::move(value(loaded).m_document);
}

exit_code run_diff(std::vector<std::string> const& operands)
{
    if (operands.empty() || operands.size() > 2)
    {
        return print_usage("config diff takes one or two FILEs");
    }
    auto const after = read_document(operands.back());
    if (!has_value(after))
    {
        return print_error(failure(after));
    }
    auto const before =
        operands.size() == 2 ? read_document(operands.front()) : load_stored();
    if (!has_value(before))
    {
        return print_error(failure(before));
    }
    auto const changes = config::find_differences(value(before), value(after));
    std::cout << config::describe(changes);
    return changes.empty() ? exit_code::success : exit_code::differences_found;
}

} // namespace

command make_config_diff_command()
{
    return {.m_name = "config diff",
            .m_operands = "[OLD] FILE",
            .m_summary = "Show what a document changes.",
            .m_details =
                "Compares FILE with the stored configuration, or with OLD. One "
                "line for each\nchange: \"+ path: new\", \"- path: old\" or "
                "\"~ path: old -> new\". Entries of lists\nare named in the "
                "path, and a changed order of kinds is a change.\n\nExit "
                "codes: 0 no differences, 6 differences, 2 a file has faults, "
                "4 the platform\ndid not answer, 7 a file cannot be read, 8 no "
                "configuration is stored.",
            .m_flags = platform_flags(),
            .m_run = run_diff};
}

} // namespace hawthornspur::cli
