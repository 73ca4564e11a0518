// Prints what each customer and kind of an overloaded pool is served, with the
// queue by kind ("before") and with shares of customers ("after").

#include "core/models/sharing_replay.hpp"

#include <cstdio>
#include <string>
#include <vector>

namespace
{

using namespace hawthornspur::core;

constexpr double usual_load = 0.8;

/// Ten customers of priorities 0 to 9, the sixth of which is five times as
/// large as each other one, with two kinds each.
sharing_scenario make_step(double factor)
{
    constexpr double parts = 14;
    sharing_scenario step;
    step.m_kind_priorities = {0, 5};
    for (std::uint32_t customer = 1; customer <= 10; ++customer)
    {
        for (std::uint32_t kind = 0; kind < 2; ++kind)
        {
            auto const size = customer == 6 ? 5.0 : 1.0;
            step.m_sources.push_back(
                {.m_customer = customer,
                 .m_priority = static_cast<int>(customer) - 1,
                 .m_kind = kind,
                 .m_usual_rate =
                     usual_load * replay_capacity_per_second * size / parts / 2,
                 .m_factor = factor / usual_load,
                 .m_ignores_delay = false});
        }
    }
    return step;
}

sharing_scenario make_greedy()
{
    constexpr std::uint32_t customers = 8;
    sharing_scenario load;
    for (std::uint32_t customer = 1; customer <= customers; ++customer)
    {
        load.m_sources.push_back(
            {.m_customer = customer,
             .m_priority = 4,
             .m_kind = 0,
             .m_usual_rate =
                 usual_load * replay_capacity_per_second / customers,
             .m_factor = customer == 1 ? 8.0 : 1.0,
             .m_ignores_delay = false});
    }
    return load;
}

void print_results(std::string const& name, sharing_scenario const& scenario)
{
    auto const results = play_sharing(scenario);
    replay_counts all;
    std::vector<replay_counts> by_kind(scenario.m_kind_priorities.size());
    std::printf("%s\n ", name.c_str());
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        auto const& source = scenario.m_sources[i];
        for (auto* sum : {&all, &by_kind[source.m_kind]})
        {
            sum->m_asked += results[i].m_asked;
            sum->m_served += results[i].m_served;
            sum->m_in_time += results[i].m_in_time;
            sum->m_refused_late += results[i].m_refused_late;
        }
        std::printf(" c%u/k%u %.2f", source.m_customer, source.m_kind,
                    share_served(results[i]));
    }
    std::printf("\n  all: asked %d, served %d, in time %d, refused after "
                "waiting %d;",
                all.m_asked, all.m_served, all.m_in_time, all.m_refused_late);
    for (std::size_t kind = 0; kind < by_kind.size(); ++kind)
    {
        std::printf(" k%zu %.2f", kind, share_served(by_kind[kind]));
    }
    std::printf("\n");
}

void compare(std::string const& name, sharing_scenario scenario)
{
    for (bool const has_objective : {false, true})
    {
        scenario.m_has_objective = has_objective;
        auto const full_name =
            name + (has_objective ? ", with target latency" : "");
        scenario.m_names_customers = false;
        print_results(full_name + ", before", scenario);
        scenario.m_names_customers = true;
        print_results(full_name + ", after", scenario);
    }
}

} // namespace

int main()
{
    compare("step to 2 times capacity", make_step(2));
    compare("step to 4 times capacity", make_step(4));
    compare("one customer at 8 times its load", make_greedy());
    auto slowed = make_step(2);
    slowed.m_has_neighbours = true;
    compare("step to 2 times capacity, slow targets", slowed);
    return 0;
}
