#include "cli/command.hpp"
#include "cli/document_file.hpp"
#include "cli/host_generations.hpp"
#include "cli/platform_session.hpp"
#include "config/difference.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <iostream>
#include <optional>

ABSL_FLAG(std::optional<std::uint64_t>, based_on, std::nullopt,
          "The stored generation that the change is based on; 0 when nothing "
          "is stored. Without it the generation that FILE names.");
ABSL_FLAG(absl::Duration, wait, absl::Seconds(16),
          "How long to wait until the change is in force on all hosts; 0 does "
          "not query the hosts.");

namespace hawthornspur::cli
{

namespace
{

using core::configuration;
using platform::apply_outcome;
using platform::apply_result;
using platform::callback;
using platform::loaded_configuration;

result<configuration> load_generation(platform_session& session,
                                      std::uint64_t generation)
{
    return run_call<configuration>(
        session, [&](callback<configuration> done)
        { session.m_store->load_generation(generation, std::move(done)); });
}

void print_changes(std::string const& title, configuration const& before,
                   configuration const& after, std::ostream& out)
{
    auto const text = config::describe(config::find_differences(before, after));
    out << title << "\n" << (text.empty() ? "no differences\n" : text);
}

/// Prints both changes relative to their common base, so that the operator can
/// apply the proposed one on top of the stored one.
exit_code print_conflict(platform_session& session,
                         apply_result const& conflict,
                         configuration const& proposed, std::uint64_t based_on)
{
    auto const stored_generation =
        "generation " + std::to_string(conflict.m_generation);
    auto base = based_on == 0 ? result<configuration>(configuration{})
                              : load_generation(session, based_on);
    if (conflict.m_stored && has_value(base))
    {
        print_changes("stored since generation " + std::to_string(based_on) +
                          ", by " + conflict.m_stored->m_change_id + ":",
                      value(base), *conflict.m_stored, std::cerr);
        print_changes("not stored, from your file:", value(base), proposed,
                      std::cerr);
    }
    else if (conflict.m_stored)
    {
        print_changes("generation " + std::to_string(based_on) +
                          " is no longer stored; your file compared with " +
                          stored_generation + ":",
                      *conflict.m_stored, proposed, std::cerr);
    }
    return print_error(make_error(
        result_code::version_conflict,
        "the change is based on generation " + std::to_string(based_on) +
            ", but " + stored_generation +
            " is stored. Nothing was written. Get it with config show, repeat "
            "your change there and apply again."));
}

exit_code wait_for_hosts(platform_session& session, std::uint64_t generation)
{
    auto const timeout = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_wait));
    if (timeout <= core::duration(0))
    {
        return exit_code::success;
    }
    auto hosts_result = find_hosts(session);
    if (!has_value(hosts_result))
    {
        std::cerr << "hawthornspur: generation " << generation
                  << " is stored, but the hosts could not be listed\n";
        return print_error(failure(hosts_result));
    }
    auto& hosts = value(hosts_result);
    wait_until_in_force(session, hosts, generation, timeout,
                        [&](std::size_t in_force)
                        {
                            std::cout << "in force on " << in_force << " of "
                                      << hosts.size() << " hosts" << std::endl;
                        });
    if (count_in_force(hosts, generation) == hosts.size())
    {
        return exit_code::success;
    }
    for (auto const& host : hosts)
    {
        if (!host.m_generation || *host.m_generation < generation)
        {
            std::cerr << "not in force: " << describe(host) << "\n";
        }
    }
    return print_error(
        make_error(result_code::not_in_force_everywhere,
                   "generation " + std::to_string(generation) +
                       " is stored, but was not in force everywhere within "
                       "the wait. The hosts continue to fetch it."));
}

/// Prints the change if its base is the stored document. Returns true if there
/// is nothing to change.
bool print_change(platform_session& session, configuration const& proposed,
                  std::uint64_t based_on)
{
    auto const loaded = run_call<loaded_configuration>(
        session, [&](callback<loaded_configuration> done)
        { session.m_store->load(std::move(done)); });
    if (!has_value(loaded) || value(loaded).m_document.m_generation != based_on)
    {
        return false;
    }
    auto const changes =
        config::find_differences(value(loaded).m_document, proposed);
    std::cout << config::describe(changes);
    return changes.empty();
}

exit_code run_apply(std::vector<std::string> const& operands)
{
    if (operands.size() != 1)
    {
        return print_usage("config apply takes one FILE");
    }
    auto document = read_document(operands.front());
    if (!has_value(document))
    {
        return print_error(failure(document));
    }
    auto& proposed = value(document);
    auto opened = open_session();
    if (!has_value(opened))
    {
        return print_error(failure(opened));
    }
    auto& session = *value(opened);
    auto const based_on =
        absl::GetFlag(FLAGS_based_on).value_or(proposed.m_generation);
    if (print_change(session, proposed, based_on))
    {
        std::cout << "no differences to generation " << based_on << "\n";
        return wait_for_hosts(session, based_on);
    }
    proposed.m_change_id = make_change_id();
    auto const applied = run_call<apply_result>(
        session, [&](callback<apply_result> done)
        { session.m_store->apply(proposed, based_on, std::move(done)); });
    if (!has_value(applied))
    {
        return print_error(failure(applied));
    }
    auto const& outcome = value(applied);
    if (outcome.m_outcome == apply_outcome::conflict)
    {
        return print_conflict(session, outcome, proposed, based_on);
    }
    std::cout << "stored as generation " << outcome.m_generation << ", change "
              << proposed.m_change_id << "\n";
    if (!outcome.m_is_in_history)
    {
        std::cerr << "hawthornspur: the history could not be written; the "
                     "next change adds this generation\n";
    }
    return wait_for_hosts(session, outcome.m_generation);
}

} // namespace

command make_config_apply_command()
{
    std::vector<std::string> flags{"based_on", "wait"};
    for (auto const& group : {host_flags(), platform_flags()})
    {
        flags.insert(flags.end(), group.begin(), group.end());
    }
    return {
        .m_name = "config apply",
        .m_operands = "FILE",
        .m_summary = "Store a document and wait until it is in force.",
        .m_details =
            "Prints the change, stores it if the configuration has not changed "
            "since the\ngeneration it is based on, and queries the hosts until "
            "it is in force everywhere\nor the wait is over. A conflict prints "
            "both changes and writes nothing. A lost\nanswer is resolved by "
            "reading back the change id.\n\n"
            "Exit codes: 0 in force everywhere, 2 the file has faults, 3 "
            "conflict, 4 the\nplatform did not answer (the message says "
            "whether the change may be stored),\n5 stored, but not in "
            "force everywhere, 7 the file cannot be read.",
        .m_flags = std::move(flags),
        .m_run = run_apply};
}

} // namespace hawthornspur::cli
