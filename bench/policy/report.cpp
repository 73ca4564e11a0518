#include "report.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace hawthornspur::bench
{

namespace
{

namespace histogram = boost::histogram;

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Returns a histogram in milliseconds with bins of one percent, from 1 us to
/// 100 s.
auto make_time_histogram()
{
    using log_axis =
        histogram::axis::regular<double, histogram::axis::transform::log>;
    return histogram::make_histogram(log_axis(1850, 1e-3, 1e5));
}

template <class Histogram>
double percentile(Histogram const& times, double share)
{
    double total = 0;
    for (auto&& bin : histogram::indexed(times, histogram::coverage::all))
    {
        total += *bin;
    }
    double cumulative = 0;
    for (auto&& bin : histogram::indexed(times, histogram::coverage::all))
    {
        cumulative += *bin;
        if (total > 0 && cumulative >= share * total)
        {
            return bin.index() < 0 ? 0 : bin.bin().upper();
        }
    }
    return 0;
}

bool is_selected(planned_request const& request, selection const& filter)
{
    auto const time = request.m_arrival.time_since_epoch();
    return time >= filter.m_from && time < filter.m_to &&
           (filter.m_service < 0 || filter.m_service == request.m_service) &&
           (filter.m_zone < 0 || filter.m_zone == request.m_zone) &&
           (filter.m_kind < 0 ||
            static_cast<std::uint32_t>(filter.m_kind) == request.m_kind);
}

router make_router(simulated_fleet& fleet, policy selected_policy,
                   core::queue_order order,
                   std::shared_ptr<core_counts> const& counts)
{
    switch (selected_policy)
    {
    case policy::core:
        return make_core_router(fleet, order, counts);
    case policy::round_robin:
        return make_local_router(fleet, local_choice::round_robin);
    case policy::two_choices:
        return make_local_router(fleet, local_choice::two_choices);
    case policy::two_choices_probed:
        return make_local_router(fleet, local_choice::two_choices_probed);
    case policy::central:
        return make_central_router(fleet);
    }
    throw std::invalid_argument("unknown policy");
}

} // namespace

std::string to_string(policy value)
{
    switch (value)
    {
    case policy::core:
        return "hawthornspur";
    case policy::round_robin:
        return "round robin";
    case policy::two_choices:
        return "two choices";
    case policy::two_choices_probed:
        return "two choices, probes";
    case policy::central:
        return "central queue";
    }
    throw std::invalid_argument("unknown policy");
}

scenario_result run_scenario(deployment const& plan, scenario const& settings,
                             std::vector<policy> const& policies,
                             core::queue_order order, std::uint64_t seed)
{
    scenario_result result{
        plan,
        settings,
        std::make_shared<workload const>(make_workload(plan, settings, seed)),
        {}};
    for (auto const selected_policy : policies)
    {
        auto fleet = make_fleet(plan, settings, *result.m_workload, seed);
        auto const counts = std::make_shared<core_counts>();
        run(fleet, make_router(fleet, selected_policy, order, counts));
        run_result run{selected_policy, std::move(fleet.m_results), *counts, 0};
        for (auto const& target : fleet.m_targets)
        {
            run.m_probe_time_share = std::max(run.m_probe_time_share,
                                              to_ms(target.m_probe_time) /
                                                  to_ms(settings.m_duration));
        }
        result.m_runs.push_back(std::move(run));
    }
    return result;
}

run_result const& find_run(scenario_result const& result, policy value)
{
    return *std::find_if(result.m_runs.begin(), result.m_runs.end(),
                         [&](run_result const& run)
                         { return run.m_policy == value; });
}

statistics measure(scenario_result const& result, run_result const& run,
                   selection const& filter)
{
    statistics stats;
    auto excess = make_time_histogram();
    auto response = make_time_histogram();
    auto refusal = make_time_histogram();
    auto const& requests = result.m_workload->m_requests;
    for (std::size_t i = 0; i < requests.size(); ++i)
    {
        auto const& request = requests[i];
        if (!is_selected(request, filter))
        {
            continue;
        }
        ++stats.m_total;
        auto const& outcome = run.m_results[i];
        switch (outcome.m_status)
        {
        case request_status::answered:
            ++stats.m_answered;
            response(to_ms(outcome.m_time - request.m_arrival));
            excess(to_ms(outcome.m_time - request.m_arrival - request.m_work));
            break;
        case request_status::refused:
            ++stats.m_refused;
            refusal(to_ms(outcome.m_time - request.m_arrival));
            break;
        default:
            ++stats.m_failed;
            response(to_ms(request.m_deadline - request.m_arrival));
            excess(to_ms(request.m_deadline - request.m_arrival));
            break;
        }
    }
    stats.m_p50 = percentile(excess, 0.5);
    stats.m_p99 = percentile(excess, 0.99);
    stats.m_p999 = percentile(excess, 0.999);
    stats.m_response_p99 = percentile(response, 0.99);
    stats.m_refusal_p50 = percentile(refusal, 0.5);
    stats.m_refusal_p99 = percentile(refusal, 0.99);
    return stats;
}

double answers_per_second(scenario_result const& result, run_result const& run,
                          duration from, duration to)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < run.m_results.size(); ++i)
    {
        auto const& outcome = run.m_results[i];
        auto const time = outcome.m_time.time_since_epoch();
        bool const is_counted = outcome.m_status == request_status::answered &&
                                time >= from && time < to &&
                                result.m_workload->m_requests[i].m_kind == 0;
        count += is_counted ? 1 : 0;
    }
    return static_cast<double>(count) /
           std::chrono::duration<double>(to - from).count();
}

double capacity_per_second(scenario_result const& result, duration from,
                           duration to)
{
    auto const& plan = result.m_plan;
    auto const places = place_targets(plan);
    auto const length = to - from;
    double capacity = 0;
    for (std::size_t i = 0; i < places.size(); ++i)
    {
        // During noise a slot works at the inverse of the noise factor.
        double speed = 1;
        for (auto const& noise : result.m_workload->m_noise[i])
        {
            auto const start = std::max(noise.m_start.time_since_epoch(), from);
            auto const end = std::min(noise.m_end.time_since_epoch(), to);
            if (end > start)
            {
                speed -= (1 - 1 / noise.m_slowdown_factor) *
                         to_ms(end - start) / to_ms(length);
            }
        }
        capacity +=
            plan.m_slots * speed /
            mean_service_seconds(
                plan.m_services[static_cast<std::size_t>(places[i].m_service)]);
    }
    return capacity;
}

void print_table(scenario_result const& result, std::string const& title,
                 selection const& filter)
{
    std::printf("\n%s: %s, %s\n", result.m_plan.m_name.c_str(),
                result.m_scenario.m_name.c_str(), title.c_str());
    std::printf("%-20s %8s %8s %8s %8s %7s %7s %8s %8s %9s\n", "policy",
                "p50 ms", "p99 ms", "p99.9 ms", "answer %", "refus %", "fail %",
                "ref p50", "ref p99", "measure %");
    for (auto const& run : result.m_runs)
    {
        auto const stats = measure(result, run, filter);
        auto const share = [&](std::size_t count)
        {
            return 100.0 * static_cast<double>(count) /
                   static_cast<double>(std::max<std::size_t>(1, stats.m_total));
        };
        std::printf(
            "%-20s %8.2f %8.2f %8.2f %8.2f %7.2f %7.2f %8.2f %8.2f %9.3f\n",
            to_string(run.m_policy).c_str(), stats.m_p50, stats.m_p99,
            stats.m_p999, share(stats.m_answered), share(stats.m_refused),
            share(stats.m_failed), stats.m_refusal_p50, stats.m_refusal_p99,
            100 * run.m_probe_time_share);
    }
    auto const& counts = find_run(result, policy::core).m_counts;
    std::printf("hawthornspur: %llu dispatches, hedges %llu, retries %llu, "
                "spills %llu (refused %llu), probes %llu, core %.2f us per "
                "dispatch\n",
                static_cast<unsigned long long>(counts.m_dispatches),
                static_cast<unsigned long long>(counts.m_reasons[6]),
                static_cast<unsigned long long>(counts.m_dispatches -
                                                counts.m_reasons[0] -
                                                counts.m_reasons[6]),
                static_cast<unsigned long long>(counts.m_spills),
                static_cast<unsigned long long>(counts.m_spills_refused),
                static_cast<unsigned long long>(counts.m_probes),
                1000 * to_ms(counts.m_core_time) /
                    static_cast<double>(
                        std::max<std::uint64_t>(1, counts.m_dispatches)));
}

} // namespace hawthornspur::bench
