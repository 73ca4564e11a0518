#include "common/json_fields.hpp"
#include "common/program.hpp"
#include "net/event_loop.hpp"
#include "platform_emulator/platform_emulator.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port; 0: the kernel chooses a free port");
ABSL_FLAG(
    std::string, hosts, "",
    "JSON file with the initial list of hosts: {\"hosts\":[{name, role, zone, "
    "address, port, state}]}");
ABSL_FLAG(std::uint64_t, seed, 1, "seed for random faults");

namespace hawthornspur::tools
{

namespace
{

status run()
{
    platform_settings settings;
    settings.m_address = absl::GetFlag(FLAGS_address);
    settings.m_port = absl::GetFlag(FLAGS_port);
    settings.m_seed = absl::GetFlag(FLAGS_seed);
    if (auto const path = absl::GetFlag(FLAGS_hosts); !path.empty())
    {
        auto text = read_file(path);
        if (!has_value(text))
        {
            return failure(text);
        }
        settings.m_hosts = take(std::move(text));
    }
    auto loop_result = net::event_loop::create();
    if (!has_value(loop_result))
    {
        return failure(loop_result);
    }
    auto const loop = take(std::move(loop_result));
    auto const emulator = platform_emulator::create(*loop, settings);
    if (!has_value(emulator))
    {
        return failure(emulator);
    }
    return announce_and_run(*loop, {{"address", settings.m_address},
                                    {"port", value(emulator)->port()}});
}

} // namespace

} // namespace hawthornspur::tools

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Emulates the platform: a key-value store with leases and watches, and "
        "the list of hosts.");
    absl::ParseCommandLine(argc, argv);
    auto const run_status = hawthornspur::tools::run();
    return hawthornspur::has_value(run_status)
               ? 0
               : hawthornspur::tools::report_failure(
                     hawthornspur::failure(run_status));
}
