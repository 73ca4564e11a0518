#include "goals.hpp"

#include <algorithm>
#include <cstdio>

namespace hawthornspur::bench
{

namespace
{

using std::chrono::milliseconds;

std::vector<policy> const all_policies{
    policy::core, policy::round_robin, policy::two_choices,
    policy::two_choices_probed, policy::central};

struct context
{
    deployment const* m_plan;
    bench_options const* m_options;
    std::vector<goal>* m_goals;
};

bool is_wanted(context const& c, std::string const& name)
{
    return name.find(c.m_options->m_filter) != std::string::npos;
}

scenario_result run_all(context const& c, scenario const& what)
{
    return run_scenario(*c.m_plan, what, all_policies, c.m_options->m_order,
                        c.m_options->m_seed);
}

scenario_result run_core(context const& c, scenario const& what)
{
    return run_scenario(*c.m_plan, what, {policy::core}, c.m_options->m_order,
                        c.m_options->m_seed);
}

void add_goal(context const& c, std::string text, double figure, double bound,
              bool at_least = false)
{
    c.m_goals->push_back(
        {c.m_plan->m_name, std::move(text), figure, bound, at_least});
}

double ratio(double a, double b)
{
    return a / std::max(b, 1e-9);
}

void check_steady(context const& c, bool has_noise)
{
    scenario what;
    what.m_name = has_noise ? "70% load" : "70% load without neighbours";
    what.m_noise = has_noise;
    auto const result = run_all(c, what);
    print_table(result, "all requests", {});
    for (int service = 0;
         service < static_cast<int>(c.m_plan->m_services.size()); ++service)
    {
        selection which;
        which.m_service = service;
        print_table(
            result,
            c.m_plan->m_services[static_cast<std::size_t>(service)].m_name,
            which);
    }
    auto const p99 = [&](policy which)
    {
        return measure(result, run_of(result, which), {}).m_p99;
    };
    add_goal(c, what.m_name + ": p99 / two choices",
             ratio(p99(policy::core), p99(policy::two_choices)), 0.5);
    add_goal(c, what.m_name + ": p99 / central queue",
             ratio(p99(policy::core), p99(policy::central)), 1.3);
}

void check_peak(context const& c, double peak)
{
    scenario what;
    what.m_name = "peak " + std::to_string(static_cast<int>(peak)) + "x";
    what.m_load = 0.5;
    what.m_peak = peak;
    auto const result = run_all(c, what);
    selection during;
    during.m_from = what.m_event;
    during.m_to = what.m_event_end;
    print_table(result, "arrivals during the peak", during);
    selection before;
    before.m_to = what.m_event;
    selection after;
    after.m_from = what.m_event_end + std::chrono::seconds(1);
    print_table(result, "arrivals from 1 s after the peak", after);
    auto const from = what.m_event + std::chrono::seconds(1);
    auto const capacity = capacity_per_second(result, from, what.m_event_end);
    std::printf("answers in time per second at the peak, of a capacity of "
                "%.0f:",
                capacity);
    for (auto const& run : result.m_runs)
    {
        std::printf(" %s %.0f;", to_string(run.m_policy).c_str(),
                    answers_per_second(result, run, from, what.m_event_end));
    }
    std::printf("\n");
    auto const& ours = run_of(result, policy::core);
    auto const name = what.m_name;
    add_goal(c, name + ": goodput / capacity",
             ratio(answers_per_second(result, ours, from, what.m_event_end),
                   capacity),
             0.95, true);
    add_goal(c, name + ": p99 after / before",
             ratio(measure(result, ours, after).m_p99,
                   measure(result, ours, before).m_p99),
             2);
    add_goal(c, name + ": p99 of refusal time, ms",
             measure(result, ours, during).m_refusal_p99, 5);
}

selection main_pool(duration from, duration to)
{
    selection which;
    which.m_from = from;
    which.m_to = to;
    which.m_service = 0;
    which.m_zone = fault_zone;
    return which;
}

void check_target_fault(context const& c, fault what_fault,
                        std::string const& name)
{
    scenario what;
    what.m_name = name;
    what.m_fault = what_fault;
    auto const result = run_all(c, what);
    scenario undisturbed;
    undisturbed.m_name = "undisturbed";
    auto const reference = run_core(c, undisturbed);
    auto const first =
        main_pool(what.m_event, what.m_event + std::chrono::seconds(1));
    auto const later =
        main_pool(what.m_event + std::chrono::seconds(1), what.m_length);
    print_table(result, "its pool, first second", first);
    print_table(result, "its pool, from 1 s on", later);
    add_goal(c, name + ": p99 from 1 s on / undisturbed",
             ratio(measure(result, run_of(result, policy::core), later).m_p99,
                   measure(reference, reference.m_runs.front(), later).m_p99),
             2);
}

void check_killed_owner(context const& c)
{
    scenario what;
    what.m_name = "killed owner";
    what.m_fault = fault::killed_owner;
    auto const result = run_all(c, what);
    print_table(
        result, "its pool, first second",
        main_pool(what.m_event, what.m_event + std::chrono::seconds(1)));
    print_table(
        result, "its pool, from 1 s on",
        main_pool(what.m_event + std::chrono::seconds(1), what.m_length));
    scenario undisturbed;
    undisturbed.m_name = "undisturbed";
    auto const reference = run_core(c, undisturbed);
    auto const& ours = run_of(result, policy::core);
    auto const& requests = result.m_work->m_requests;
    std::size_t failed = 0;
    duration last{0};
    for (std::size_t i = 0; i < requests.size(); ++i)
    {
        auto const since =
            requests[i].m_arrival.time_since_epoch() - what.m_event;
        // A request with a quarter second of work and more misses its deadline
        // on a target that a neighbour slows down, whoever owns the pool.
        bool const misses_by_noise =
            ours.m_results[i].m_at >= requests[i].m_deadline &&
            requests[i].m_work * largest_noise_factor >=
                requests[i].m_deadline - requests[i].m_arrival;
        bool const fails_anyway =
            reference.m_runs.front().m_results[i].m_status ==
            request_status::failed;
        if (ours.m_results[i].m_status == request_status::failed &&
            !fails_anyway && !misses_by_noise)
        {
            ++failed;
            last = std::max(last, since);
        }
    }
    std::printf(
        "failed calls: %zu, of them in flight at the killed host %llu, "
        "sent to it before its loss was noticed %llu\n",
        failed, static_cast<unsigned long long>(ours.m_counts.m_lost_in_flight),
        static_cast<unsigned long long>(ours.m_counts.m_lost_unnoticed));
    add_goal(c, "killed owner: failed calls that were not at the host",
             static_cast<double>(failed) -
                 static_cast<double>(ours.m_counts.m_lost_in_flight +
                                     ours.m_counts.m_lost_unnoticed),
             0);
    add_goal(c, "killed owner: arrival of the last failed call, ms after",
             std::chrono::duration<double, std::milli>(last).count(), 1000);
}

void check_lost_zone(context const& c)
{
    scenario what;
    what.m_name = "lost zone";
    what.m_fault = fault::lost_zone;
    auto const result = run_all(c, what);
    selection first;
    first.m_from = what.m_event;
    first.m_to = what.m_event + std::chrono::seconds(1);
    print_table(result, "all requests, first second", first);
    selection later;
    later.m_from = first.m_to;
    print_table(result, "all requests, from 1 s on", later);
}

void check_long(context const& c)
{
    scenario what;
    what.m_name = "long requests";
    what.m_long_share = 0.01;
    auto const result = run_all(c, what);
    what.m_name = "long requests left out";
    what.m_drop_long = true;
    auto const without = run_all(c, what);
    selection brief;
    brief.m_kind = 0;
    selection lengthy;
    lengthy.m_kind = 1;
    print_table(result, "short requests", brief);
    print_table(result, "long requests", lengthy);
    print_table(without, "short requests", brief);
    auto const of = [&](scenario_result const& r, policy which)
    {
        return measure(r, run_of(r, which), brief);
    };
    std::printf("p99 of the whole time of short requests, with / without long "
                "ones:");
    for (auto const which : all_policies)
    {
        std::printf(" %s %.2f;", to_string(which).c_str(),
                    ratio(of(result, which).m_response_p99,
                          of(without, which).m_response_p99));
    }
    std::printf("\n");
    add_goal(c, "long requests: p99 of short ones with / without",
             ratio(of(result, policy::core).m_response_p99,
                   of(without, policy::core).m_response_p99),
             1.5);
}

void compare_orders(context const& c)
{
    using core::queue_order;
    struct named_order
    {
        queue_order m_order;
        char const* m_name;
    };
    for (auto const& order :
         {named_order{queue_order::first_come, "first come"},
          named_order{queue_order::last_come, "last come"},
          named_order{queue_order::earliest_deadline, "earliest deadline"},
          named_order{queue_order::adaptive, "adaptive"}})
    {
        scenario what;
        what.m_name = std::string("peak 4x, mixed deadlines, ") + order.m_name;
        what.m_load = 0.5;
        what.m_peak = 4;
        what.m_mixed_deadlines = true;
        auto const result = run_scenario(*c.m_plan, what, {policy::core},
                                         order.m_order, c.m_options->m_seed);
        selection during;
        during.m_from = what.m_event;
        during.m_to = what.m_event_end;
        print_table(result, "arrivals during the peak", during);
        auto const from = what.m_event + std::chrono::seconds(1);
        std::printf("goodput / capacity %.3f\n",
                    ratio(answers_per_second(result, result.m_runs.front(),
                                             from, what.m_event_end),
                          capacity_per_second(result, from, what.m_event_end)));
    }
}

void check_measuring(context const& c)
{
    for (auto const share : {1.0, 0.1, 0.0})
    {
        scenario what;
        what.m_fault = fault::dead_target;
        what.m_probe_budget *= share;
        char name[64];
        std::snprintf(name, sizeof name, "measuring budget %.2f%%",
                      100 * what.m_probe_budget);
        what.m_name = name;
        auto const result = run_all(c, what);
        print_table(result, "all requests", {});
        add_goal(c, what.m_name + ": largest cost at a target, %",
                 100 * run_of(result, policy::core).m_measuring_share,
                 100 * what.m_probe_budget);
    }
}

} // namespace

bool is_met(goal const& g)
{
    return g.m_at_least ? g.m_figure >= g.m_bound : g.m_figure <= g.m_bound;
}

void print_goals(std::vector<goal> const& goals)
{
    std::printf("\ngoals\n");
    for (auto const& g : goals)
    {
        std::printf("%-6s %-8s %-58s %9.3f (%s %.3f)\n",
                    is_met(g) ? "met" : "MISSED", g.m_deployment.c_str(),
                    g.m_text.c_str(), g.m_figure,
                    g.m_at_least ? "at least" : "at most", g.m_bound);
    }
}

void run_deployment(deployment const& plan, bench_options const& options,
                    std::vector<goal>& goals)
{
    context const c{&plan, &options, &goals};
    if (is_wanted(c, "steady"))
    {
        check_steady(c, true);
        check_steady(c, false);
    }
    for (auto const peak : {2, 4})
    {
        if (is_wanted(c, "peak" + std::to_string(peak)))
        {
            check_peak(c, peak);
        }
    }
    if (is_wanted(c, "slow-target"))
    {
        check_target_fault(c, fault::slow_target, "slow target");
    }
    if (is_wanted(c, "dead-target"))
    {
        check_target_fault(c, fault::dead_target, "dead target");
    }
    if (is_wanted(c, "killed-owner"))
    {
        check_killed_owner(c);
    }
    if (is_wanted(c, "lost-zone"))
    {
        check_lost_zone(c);
    }
    if (is_wanted(c, "long"))
    {
        check_long(c);
    }
    if (is_wanted(c, "orders"))
    {
        compare_orders(c);
    }
    if (is_wanted(c, "measuring"))
    {
        check_measuring(c);
    }
}

} // namespace hawthornspur::bench
