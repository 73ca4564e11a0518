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

struct bench_context
{
    deployment const* m_plan;
    bench_options const* m_options;
    std::vector<goal>* m_goals;
};

bool is_scenario_selected(bench_context const& context, std::string const& name)
{
    return name.find(context.m_options->m_filter) != std::string::npos;
}

scenario_result run_all(bench_context const& context, scenario const& settings)
{
    return run_scenario(*context.m_plan, settings, all_policies,
                        context.m_options->m_order, context.m_options->m_seed);
}

scenario_result run_core(bench_context const& context, scenario const& settings)
{
    return run_scenario(*context.m_plan, settings, {policy::core},
                        context.m_options->m_order, context.m_options->m_seed);
}

void add_goal(bench_context const& context, std::string text, double figure,
              double bound, bool is_minimum = false)
{
    context.m_goals->push_back(
        {context.m_plan->m_name, std::move(text), figure, bound, is_minimum});
}

double ratio(double numerator, double denominator)
{
    return numerator / std::max(denominator, 1e-9);
}

void check_steady(bench_context const& context, bool has_noise)
{
    scenario settings;
    settings.m_name = has_noise ? "70% load" : "70% load without neighbours";
    settings.m_noise = has_noise;
    auto const result = run_all(context, settings);
    print_table(result, "all requests", {});
    for (int service = 0;
         service < static_cast<int>(context.m_plan->m_services.size());
         ++service)
    {
        selection filter;
        filter.m_service = service;
        print_table(
            result,
            context.m_plan->m_services[static_cast<std::size_t>(service)]
                .m_name,
            filter);
    }
    auto const p99 = [&](policy measured_policy)
    {
        return measure(result, find_run(result, measured_policy), {}).m_p99;
    };
    add_goal(context, settings.m_name + ": p99 / two choices",
             ratio(p99(policy::core), p99(policy::two_choices)), 0.5);
    add_goal(context, settings.m_name + ": p99 / central queue",
             ratio(p99(policy::core), p99(policy::central)), 1.3);
}

void check_peak(bench_context const& context, double peak)
{
    scenario settings;
    settings.m_name = "peak " + std::to_string(static_cast<int>(peak)) + "x";
    settings.m_load = 0.5;
    settings.m_peak = peak;
    auto const result = run_all(context, settings);
    selection during;
    during.m_from = settings.m_disturbance_start;
    during.m_to = settings.m_disturbance_end;
    print_table(result, "arrivals during the peak", during);
    selection before;
    before.m_to = settings.m_disturbance_start;
    selection after;
    after.m_from = settings.m_disturbance_end + std::chrono::seconds(1);
    print_table(result, "arrivals from 1 s after the peak", after);
    auto const from = settings.m_disturbance_start + std::chrono::seconds(1);
    auto const capacity =
        capacity_per_second(result, from, settings.m_disturbance_end);
    std::printf("answers in time per second at the peak, of a capacity of "
                "%.0f:",
                capacity);
    for (auto const& run : result.m_runs)
    {
        std::printf(
            " %s %.0f;", to_string(run.m_policy).c_str(),
            answers_per_second(result, run, from, settings.m_disturbance_end));
    }
    std::printf("\n");
    auto const& core_run = find_run(result, policy::core);
    auto const name = settings.m_name;
    add_goal(context, name + ": goodput / capacity",
             ratio(answers_per_second(result, core_run, from,
                                      settings.m_disturbance_end),
                   capacity),
             0.95, true);
    add_goal(context, name + ": p99 after / before",
             ratio(measure(result, core_run, after).m_p99,
                   measure(result, core_run, before).m_p99),
             2);
    add_goal(context, name + ": p99 of refusal time, ms",
             measure(result, core_run, during).m_refusal_p99, 5);
}

selection select_fault_pool(duration from, duration to)
{
    selection filter;
    filter.m_from = from;
    filter.m_to = to;
    filter.m_service = 0;
    filter.m_zone = fault_zone;
    return filter;
}

void check_target_fault(bench_context const& context, fault injected_fault,
                        std::string const& name)
{
    scenario settings;
    settings.m_name = name;
    settings.m_fault = injected_fault;
    auto const result = run_all(context, settings);
    scenario undisturbed;
    undisturbed.m_name = "undisturbed";
    auto const reference = run_core(context, undisturbed);
    auto const first_second = select_fault_pool(settings.m_disturbance_start,
                                                settings.m_disturbance_start +
                                                    std::chrono::seconds(1));
    auto const after_first_second = select_fault_pool(
        settings.m_disturbance_start + std::chrono::seconds(1),
        settings.m_duration);
    print_table(result, "its pool, first second", first_second);
    print_table(result, "its pool, from 1 s on", after_first_second);
    add_goal(
        context, name + ": p99 from 1 s on / undisturbed",
        ratio(
            measure(result, find_run(result, policy::core), after_first_second)
                .m_p99,
            measure(reference, reference.m_runs.front(), after_first_second)
                .m_p99),
        2);
}

void check_killed_owner(bench_context const& context)
{
    scenario settings;
    settings.m_name = "killed owner";
    settings.m_fault = fault::killed_owner;
    auto const result = run_all(context, settings);
    print_table(result, "its pool, first second",
                select_fault_pool(settings.m_disturbance_start,
                                  settings.m_disturbance_start +
                                      std::chrono::seconds(1)));
    print_table(result, "its pool, from 1 s on",
                select_fault_pool(settings.m_disturbance_start +
                                      std::chrono::seconds(1),
                                  settings.m_duration));
    scenario undisturbed;
    undisturbed.m_name = "undisturbed";
    auto const reference = run_core(context, undisturbed);
    auto const& core_run = find_run(result, policy::core);
    auto const& requests = result.m_workload->m_requests;
    std::size_t failed = 0;
    duration last_failure{0};
    for (std::size_t i = 0; i < requests.size(); ++i)
    {
        auto const time_after_fault = requests[i].m_arrival.time_since_epoch() -
                                      settings.m_disturbance_start;
        // A request whose work times the largest noise factor reaches its
        // deadline (0.25 s of work for short requests) can miss it because of
        // noise, independently of the owner.
        bool const can_fail_by_noise =
            core_run.m_results[i].m_time >= requests[i].m_deadline &&
            requests[i].m_work * max_noise_factor >=
                requests[i].m_deadline - requests[i].m_arrival;
        bool const fails_without_fault =
            reference.m_runs.front().m_results[i].m_status ==
            request_status::failed;
        if (core_run.m_results[i].m_status == request_status::failed &&
            !fails_without_fault && !can_fail_by_noise)
        {
            ++failed;
            last_failure = std::max(last_failure, time_after_fault);
        }
    }
    std::printf(
        "failed calls: %zu, of them in flight at the killed host %llu, "
        "sent to it before its loss was noticed %llu\n",
        failed,
        static_cast<unsigned long long>(core_run.m_counts.m_lost_in_flight),
        static_cast<unsigned long long>(
            core_run.m_counts.m_lost_before_detection));
    add_goal(context, "killed owner: failed calls that were not at the host",
             static_cast<double>(failed) -
                 static_cast<double>(core_run.m_counts.m_lost_in_flight +
                                     core_run.m_counts.m_lost_before_detection),
             0);
    add_goal(context, "killed owner: arrival of the last failed call, ms after",
             std::chrono::duration<double, std::milli>(last_failure).count(),
             1000);
}

void check_lost_zone(bench_context const& context)
{
    scenario settings;
    settings.m_name = "lost zone";
    settings.m_fault = fault::lost_zone;
    auto const result = run_all(context, settings);
    selection first_second;
    first_second.m_from = settings.m_disturbance_start;
    first_second.m_to = settings.m_disturbance_start + std::chrono::seconds(1);
    print_table(result, "all requests, first second", first_second);
    selection after_first_second;
    after_first_second.m_from = first_second.m_to;
    print_table(result, "all requests, from 1 s on", after_first_second);
}

void check_long(bench_context const& context)
{
    scenario settings;
    settings.m_name = "long requests";
    settings.m_long_share = 0.01;
    auto const result = run_all(context, settings);
    settings.m_name = "long requests left out";
    settings.m_omits_long = true;
    auto const without_long = run_all(context, settings);
    selection short_requests;
    short_requests.m_kind = 0;
    selection long_requests;
    long_requests.m_kind = 1;
    print_table(result, "short requests", short_requests);
    print_table(result, "long requests", long_requests);
    print_table(without_long, "short requests", short_requests);
    auto const measure_short_requests =
        [&](scenario_result const& measured_result, policy measured_policy)
    {
        return measure(measured_result,
                       find_run(measured_result, measured_policy),
                       short_requests);
    };
    std::printf("p99 of the whole time of short requests, with / without long "
                "ones:");
    for (auto const measured_policy : all_policies)
    {
        std::printf(
            " %s %.2f;", to_string(measured_policy).c_str(),
            ratio(
                measure_short_requests(result, measured_policy).m_response_p99,
                measure_short_requests(without_long, measured_policy)
                    .m_response_p99));
    }
    std::printf("\n");
    add_goal(
        context, "long requests: p99 of short ones with / without",
        ratio(
            measure_short_requests(result, policy::core).m_response_p99,
            measure_short_requests(without_long, policy::core).m_response_p99),
        1.5);
}

void compare_orders(bench_context const& context)
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
        scenario settings;
        settings.m_name =
            std::string("peak 4x, mixed deadlines, ") + order.m_name;
        settings.m_load = 0.5;
        settings.m_peak = 4;
        settings.m_mixed_deadlines = true;
        auto const result =
            run_scenario(*context.m_plan, settings, {policy::core},
                         order.m_order, context.m_options->m_seed);
        selection during;
        during.m_from = settings.m_disturbance_start;
        during.m_to = settings.m_disturbance_end;
        print_table(result, "arrivals during the peak", during);
        auto const from =
            settings.m_disturbance_start + std::chrono::seconds(1);
        std::printf("goodput / capacity %.3f\n",
                    ratio(answers_per_second(result, result.m_runs.front(),
                                             from, settings.m_disturbance_end),
                          capacity_per_second(result, from,
                                              settings.m_disturbance_end)));
    }
}

void check_probe_budget(bench_context const& context)
{
    for (auto const share : {1.0, 0.1, 0.0})
    {
        scenario settings;
        settings.m_fault = fault::dead_target;
        settings.m_probe_budget *= share;
        char name[64];
        std::snprintf(name, sizeof name, "measuring budget %.2f%%",
                      100 * settings.m_probe_budget);
        settings.m_name = name;
        auto const result = run_all(context, settings);
        print_table(result, "all requests", {});
        add_goal(context, settings.m_name + ": largest cost at a target, %",
                 100 * find_run(result, policy::core).m_probe_time_share,
                 100 * settings.m_probe_budget);
    }
}

} // namespace

bool is_met(goal const& g)
{
    return g.m_is_minimum ? g.m_figure >= g.m_bound : g.m_figure <= g.m_bound;
}

void print_goals(std::vector<goal> const& goals)
{
    std::printf("\ngoals\n");
    for (auto const& g : goals)
    {
        std::printf("%-6s %-8s %-58s %9.3f (%s %.3f)\n",
                    is_met(g) ? "met" : "MISSED", g.m_deployment.c_str(),
                    g.m_text.c_str(), g.m_figure,
                    g.m_is_minimum ? "at least" : "at most", g.m_bound);
    }
}

void run_deployment(deployment const& plan, bench_options const& options,
                    std::vector<goal>& goals)
{
    bench_context const context{&plan, &options, &goals};
    if (is_scenario_selected(context, "steady"))
    {
        check_steady(context, true);
        check_steady(context, false);
    }
    for (auto const peak : {2, 4})
    {
        if (is_scenario_selected(context, "peak" + std::to_string(peak)))
        {
            check_peak(context, peak);
        }
    }
    if (is_scenario_selected(context, "slow-target"))
    {
        check_target_fault(context, fault::slow_target, "slow target");
    }
    if (is_scenario_selected(context, "dead-target"))
    {
        check_target_fault(context, fault::dead_target, "dead target");
    }
    if (is_scenario_selected(context, "killed-owner"))
    {
        check_killed_owner(context);
    }
    if (is_scenario_selected(context, "lost-zone"))
    {
        check_lost_zone(context);
    }
    if (is_scenario_selected(context, "long"))
    {
        check_long(context);
    }
    if (is_scenario_selected(context, "orders"))
    {
        compare_orders(context);
    }
    if (is_scenario_selected(context, "measuring"))
    {
        check_probe_budget(context);
    }
}

} // namespace hawthornspur::bench
