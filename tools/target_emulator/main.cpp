#include "common/json_fields.hpp"
#include "common/program.hpp"
#include "net/event_loop.hpp"
#include "target_emulator/target_emulator.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint16_t, port, 0,
          "port of the first target; further targets use the following ports; "
          "0: the kernel chooses free ports");
ABSL_FLAG(int, targets, 1, "number of targets");
ABSL_FLAG(std::string, name, "target",
          "prefix of target names: NAME-1, NAME-2, ...");
ABSL_FLAG(std::string, health_path, "/health", "path of health probes");
ABSL_FLAG(std::string, faults, "",
          "initial behaviour as JSON, in the form of PUT /control/faults");
ABSL_FLAG(std::uint64_t, seed, 1, "seed for service times and random faults");

namespace hawthornspur::tools
{

namespace
{

using target_list = std::vector<std::unique_ptr<target_emulator>>;

result<target_list> make_targets(net::event_loop& loop)
{
    target_faults faults;
    if (auto const text = absl::GetFlag(FLAGS_faults); !text.empty())
    {
        auto const changed = change_faults(faults, text);
        if (!has_value(changed))
        {
            return failure(changed);
        }
    }
    target_list created;
    std::vector<target_emulator*> group;
    for (int i = 0; i < absl::GetFlag(FLAGS_targets); ++i)
    {
        auto const first_port = absl::GetFlag(FLAGS_port);
        target_settings const settings{
            .m_name = absl::GetFlag(FLAGS_name) + "-" + std::to_string(i + 1),
            .m_address = absl::GetFlag(FLAGS_address),
            .m_port = static_cast<std::uint16_t>(
                first_port == 0 ? 0 : first_port + i),
            .m_health_path = absl::GetFlag(FLAGS_health_path),
            .m_faults = faults,
            .m_seed = absl::GetFlag(FLAGS_seed) + static_cast<unsigned>(i)};
        auto target = target_emulator::create(loop, settings);
        if (!has_value(target))
        {
            return failure(target);
        }
        created.push_back(take(std::move(target)));
        group.push_back(created.back().get());
    }
    for (auto const& target : created)
    {
        target->set_group(group);
    }
    return created;
}

status run()
{
    auto loop_result = net::event_loop::create();
    if (!has_value(loop_result))
    {
        return failure(loop_result);
    }
    auto const loop = take(std::move(loop_result));
    auto const created = make_targets(*loop);
    if (!has_value(created))
    {
        return failure(created);
    }
    auto ports = nlohmann::json::array();
    auto control_ports = nlohmann::json::array();
    for (auto const& target : value(created))
    {
        ports.push_back(target->port());
        control_ports.push_back(target->control_port());
    }
    return announce_and_run(*loop,
                            {{"address", absl::GetFlag(FLAGS_address)},
                             {"ports", std::move(ports)},
                             {"control_ports", std::move(control_ports)}});
}

} // namespace

} // namespace hawthornspur::tools

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Emulates targets with slots, service times, costs and faults.");
    absl::ParseCommandLine(argc, argv);
    auto const run_status = hawthornspur::tools::run();
    return hawthornspur::has_value(run_status)
               ? 0
               : hawthornspur::tools::report_failure(
                     hawthornspur::failure(run_status));
}
