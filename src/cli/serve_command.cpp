#include "base/fatal_signal.hpp"
#include "base/logging.hpp"
#include "cli/command.hpp"
#include "config/settings.hpp"
#include "net/event_loop.hpp"
#include "platform/adapter.hpp"
#include "serve/host.hpp"

#include <absl/flags/flag.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <utility>

ABSL_FLAG(std::string, settings, "", "settings file of the host");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace hawthornspur::cli
{

namespace
{

result<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return make_error(result_code::file_unreadable, "cannot read " + path);
    }
    return std::string{std::istreambuf_iterator<char>(file), {}};
}

exit_code report(error const& fault)
{
    std::cerr << "hawthornspur serve: " << fault.m_message << " ("
              << static_cast<unsigned>(fault.m_code) << ")\n";
    return to_exit_code(fault.m_code);
}

logging::level parse_log_level(std::string const& name)
{
    static std::map<std::string, logging::level> const levels{
        {"debug", logging::level::debug},
        {"info", logging::level::info},
        {"warn", logging::level::warn},
        {"error", logging::level::error}};
    auto const found = levels.find(name);
    return found == levels.end() ? logging::level::info : found->second;
}

/// Reloads the settings file. If it cannot be read or has faults, the current
/// settings stay.
void reload(serve::entry_host& host, std::string const& path)
{
    auto const text = read_file(path);
    if (!has_value(text))
    {
        logging::write(logging::level::error, "cli.serve",
                       "settings not reloaded",
                       {{"reason", failure(text).m_message}});
        return;
    }
    auto const parsed = config::parse_settings(value(text));
    if (auto const* faults = std::get_if<config::fault_list>(&parsed))
    {
        logging::write(logging::level::error, "cli.serve",
                       "settings not reloaded",
                       {{"reason", config::describe(*faults)}});
        return;
    }
    auto const& settings = std::get<config::host_settings>(parsed);
    logging::set_threshold(parse_log_level(settings.m_log_level));
    serve::reload_settings(host, settings);
}

exit_code run_host(config::host_settings settings, std::string const& path)
{
    diagnostics::report_fatal_signals(HAWTHORNSPUR_VERSION);
    logging::start(parse_log_level(settings.m_log_level));
    // Writing to a connection closed by its peer must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto loop_result = net::event_loop::create();
    if (!has_value(loop_result))
    {
        return report(failure(loop_result));
    }
    auto const loop = take(std::move(loop_result));
    auto adapter = settings.m_platform_kind == config::platform_kind::users
                       ? adapter::make_platform_adapter()
                       : serve::make_default_platform_adapter();
    auto const host =
        serve::create_host(*loop, std::move(settings), std::move(adapter));
    if (!has_value(host))
    {
        return report(failure(host));
    }
    if (auto const watched = serve::watch_stop_signals(*value(host));
        !has_value(watched))
    {
        return report(failure(watched));
    }
    if (auto const watched = serve::watch_reload_signal(
            *value(host), [&] { reload(*value(host), path); });
        !has_value(watched))
    {
        return report(failure(watched));
    }
    loop->run();
    logging::write(logging::level::info, "cli.serve", "host stopped");
    logging::stop();
    return exit_code::success;
}

exit_code run_serve(std::vector<std::string> const& /*operands*/)
{
    auto const path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
    {
        return report(make_error(result_code::usage, "--settings is missing"));
    }
    auto const text = read_file(path);
    if (!has_value(text))
    {
        return report(failure(text));
    }
    auto settings = config::parse_settings(value(text));
    if (auto const* faults = std::get_if<config::fault_list>(&settings))
    {
        std::cerr << path << ":\n" << config::describe(*faults);
        return exit_code::invalid_file;
    }
    if (absl::GetFlag(FLAGS_check))
    {
        std::cout << path << ": ok\n";
        return exit_code::success;
    }
    return run_host(std::move(std::get<config::host_settings>(settings)), path);
}

} // namespace

command make_serve_command()
{
    return {.m_name = "serve",
            .m_operands = "",
            .m_summary = "Run an entry host.",
            .m_details =
                "Reads the settings file (docs/settings.md), opens the "
                "addresses for callers, peers and\nadministration, and serves "
                "until SIGTERM or `drain`. Logs are JSON lines on standard\n"
                "output. With --check only the settings file is checked.",
            .m_flags = {"settings", "check"},
            .m_run = run_serve};
}

} // namespace hawthornspur::cli
