#include "cli/command.hpp"
#include "cli/document_file.hpp"
#include "cli/platform_session.hpp"
#include "config/document.hpp"

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::uint64_t, generation, 0,
          "The generation to show; 0 is the newest.");

namespace hawthornspur::cli
{

namespace
{

using platform::callback;
using platform::loaded_configuration;

result<core::configuration> load(platform_session& session,
                                 std::uint64_t generation)
{
    if (generation != 0)
    {
        return run_call<core::configuration>(
            session, [&](callback<core::configuration> done)
            { session.m_store->load_generation(generation, std::move(done)); });
    }
    auto loaded = run_call<loaded_configuration>(
        session, [&](callback<loaded_configuration> done)
        { session.m_store->load(std::move(done)); });
    if (!has_value(loaded))
    {
        return failure(loaded);
    }
    return std::move(value(loaded).m_document);
}

exit_code run_show(std::vector<std::string> const& operands)
{
    if (!operands.empty())
    {
        return print_usage("config show takes no operands");
    }
    auto session = open_session();
    if (!has_value(session))
    {
        return print_error(failure(session));
    }
    auto const document =
        load(*value(session), absl::GetFlag(FLAGS_generation));
    if (!has_value(document))
    {
        return print_error(failure(document));
    }
    std::cout << config::print_document(value(document),
                                        config::key_form::digest);
    return exit_code::success;
}

} // namespace

command make_config_show_command()
{
    auto flags = platform_flags();
    flags.insert(flags.begin(), "generation");
    return {
        .m_name = "config show",
        .m_operands = "",
        .m_summary = "Print the stored configuration or an older one.",
        .m_details =
            "The printed document contains its generation. Edit it and "
            "pass it to config apply,\nwhich takes that generation as the "
            "one the change is based on. Access keys are\nprinted as digests "
            "of 8 hex digits; config apply refuses them until the keys "
            "are\nput back.\n\nExit codes: 0 printed, 4 the "
            "platform did not answer or its answer is malformed,\n8 there is "
            "no such configuration.",
        .m_flags = std::move(flags),
        .m_run = run_show};
}

} // namespace hawthornspur::cli
