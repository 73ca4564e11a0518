// Runs the models of at-most-once keys, membership and the configuration in
// force with random events until each has handled the requested number. Exits
// with status 1 and prints the seed when an invariant is violated.

#include "core/models/cluster_script.hpp"
#include "core/models/model_step.hpp"
#include "core/models/once_model.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <random>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1,
          "Seed of the first run; each further run adds one.");
ABSL_FLAG(std::uint64_t, events, 1'000'000,
          "Minimum number of events for each model.");
ABSL_FLAG(std::string, model, "all", "once, cluster or all.");

namespace
{

using namespace hawthornspur::core;

struct run_outcome
{
    std::uint64_t m_events = 0;
    std::string m_violation;
};

constexpr std::uint64_t once_steps_per_run = 5000;
constexpr std::uint64_t cluster_steps_per_run = 25;

template <class Step>
Step random_step(std::mt19937_64& random)
{
    auto const number = [&]
    {
        return static_cast<std::uint32_t>(random());
    };
    auto const kind = number();
    auto const first_argument = number();
    return models::make_step<Step>(kind, first_argument, number());
}

run_outcome run_once(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto model = models::make_once_model();
    run_outcome result;
    while (result.m_events < once_steps_per_run && model.m_violation.empty())
    {
        apply(model, random_step<models::once_step>(random));
        ++result.m_events;
    }
    result.m_violation = model.m_violation;
    return result;
}

run_outcome run_cluster(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    models::cluster_settings settings;
    settings.m_hosts = 1 + random() % 24;
    settings.m_zones = 1 + random() % 5;
    settings.m_reports_link_loss = random() % 2 == 0;
    settings.m_seed = random();
    auto cluster = models::make_cluster(settings);
    for (std::uint64_t i = 0; i < cluster_steps_per_run; ++i)
    {
        apply(cluster, random_step<models::cluster_step>(random));
    }
    models::end_script(cluster);
    return {cluster.m_handled_events,
            cluster.m_violations.empty() ? "" : cluster.m_violations.front()};
}

template <class Run>
bool fuzz(std::string const& name, Run run)
{
    auto const min_events = absl::GetFlag(FLAGS_events);
    auto seed = absl::GetFlag(FLAGS_seed);
    std::uint64_t events = 0;
    std::uint64_t runs = 0;
    while (events < min_events)
    {
        auto const result = run(seed);
        events += result.m_events;
        ++runs;
        if (!result.m_violation.empty())
        {
            std::cout << name << ": seed " << seed << ": " << result.m_violation
                      << "\nrepeat with: fuzz_core"
                      << " --model=" << name << " --seed=" << seed
                      << " --events=1\n";
            return false;
        }
        ++seed;
    }
    std::cout << name << ": " << events << " events in " << runs
              << " runs, no violation\n";
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    auto const model = absl::GetFlag(FLAGS_model);
    auto is_passed = true;
    if (model == "once" || model == "all")
    {
        is_passed = fuzz("once", run_once) && is_passed;
    }
    if (model == "cluster" || model == "all")
    {
        is_passed = fuzz("cluster", run_cluster) && is_passed;
    }
    return is_passed ? 0 : 1;
}
