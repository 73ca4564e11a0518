#include "goals.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 20261204, "seed of all random engines");
ABSL_FLAG(std::string, deployment, "all", "all, tiza or setacci");
ABSL_FLAG(std::string, scenario, "",
          "part of a scenario's name: steady, peak2, peak4, slow-target, "
          "dead-target, killed-owner, lost-zone, long, orders, measuring");
ABSL_FLAG(std::string, order, "first_come",
          "queue order: first_come, last_come, earliest_deadline, adaptive");

int main(int argc, char** argv)
{
    namespace bench = hawthornspur::bench;
    using hawthornspur::core::queue_order;
    absl::SetProgramUsageMessage(
        "Compares balancing policies in virtual time on the same arrivals.");
    absl::ParseCommandLine(argc, argv);
    std::map<std::string, queue_order> const orders{
        {"first_come", queue_order::first_come},
        {"last_come", queue_order::last_come},
        {"earliest_deadline", queue_order::earliest_deadline},
        {"adaptive", queue_order::adaptive}};
    auto const order = orders.find(absl::GetFlag(FLAGS_order));
    if (order == orders.end())
    {
        std::fprintf(stderr, "unknown --order\n");
        return 2;
    }
    bench::bench_options const options{absl::GetFlag(FLAGS_seed), order->second,
                                       absl::GetFlag(FLAGS_scenario)};
    std::printf("seed %llu, queue order %s; times beyond own service time\n",
                static_cast<unsigned long long>(options.m_seed),
                order->first.c_str());
    std::vector<bench::goal> goals;
    for (auto const& plan : {bench::tiza_viva(), bench::setacci_trinacria()})
    {
        auto const selected_deployment = absl::GetFlag(FLAGS_deployment);
        if (selected_deployment == "all" || selected_deployment == plan.m_name)
        {
            bench::run_deployment(plan, options, goals);
        }
    }
    bench::print_goals(goals);
    return 0;
}
