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
          "first port; further targets use the next ones; 0 lets the kernel "
          "choose each");
ABSL_FLAG(int, targets, 1, "number of targets");
ABSL_FLAG(std::string, name, "target",
          "targets are called NAME-1, NAME-2, ...");
ABSL_FLAG(std::string, health_path, "/health", "path of probes");
ABSL_FLAG(std::string, faults, "",
          "JSON with the initial behaviour, as for PUT /control/faults");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of service times and random faults");

namespace hawthornspur::tools
{

namespace
{

using targets = std::vector<std::unique_ptr<target_emulator>>;

result<targets> make_targets(net::event_loop& loop)
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
    targets made;
    std::vector<target_emulator*> group;
    for (int i = 0; i < absl::GetFlag(FLAGS_targets); ++i)
    {
        auto const first = absl::GetFlag(FLAGS_port);
        target_settings const settings{
            .m_name = absl::GetFlag(FLAGS_name) + "-" + std::to_string(i + 1),
            .m_address = absl::GetFlag(FLAGS_address),
            .m_port = static_cast<std::uint16_t>(first == 0 ? 0 : first + i),
            .m_health_path = absl::GetFlag(FLAGS_health_path),
            .m_faults = faults,
            .m_seed = absl::GetFlag(FLAGS_seed) + static_cast<unsigned>(i)};
        auto target = target_emulator::create(loop, settings);
        if (!has_value(target))
        {
            return failure(target);
        }
        made.push_back(take(std::move(target)));
        group.push_back(made.back().get());
    }
    for (auto const& target : made)
    {
        target->set_group(group);
    }
    return made;
}

status run()
{
    auto made_loop = net::event_loop::create();
    if (!has_value(made_loop))
    {
        return failure(made_loop);
    }
    auto const loop = take(std::move(made_loop));
    auto const made = make_targets(*loop);
    if (!has_value(made))
    {
        return failure(made);
    }
    auto ports = nlohmann::json::array();
    for (auto const& target : value(made))
    {
        ports.push_back(target->port());
    }
    return announce_and_run(*loop, {{"address", absl::GetFlag(FLAGS_address)},
                                    {"ports", std::move(ports)}});
}

} // namespace

} // namespace hawthornspur::tools

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Emulates targets: slots, service times, costs and faults.");
    absl::ParseCommandLine(argc, argv);
    auto const ended = hawthornspur::tools::run();
    return hawthornspur::has_value(ended) ? 0
                                          : hawthornspur::tools::report_failure(
                                                hawthornspur::failure(ended));
}
