#include "workload.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornspur::bench
{

namespace
{

constexpr duration ramp = std::chrono::seconds(1);
constexpr double quiet_mean_seconds = 2;
constexpr double noisy_mean_seconds = 0.05;
constexpr double largest_work_seconds = 1;

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

std::vector<noise> make_noise(duration length, random_engine& random)
{
    std::exponential_distribution<> quiet(1 / quiet_mean_seconds);
    std::exponential_distribution<> noisy(1 / noisy_mean_seconds);
    std::uniform_real_distribution<> factor(2, largest_noise_factor);
    std::vector<noise> all;
    time_point at{};
    while (at.time_since_epoch() < length)
    {
        auto const start = at + to_duration(quiet(random));
        auto const end = start + to_duration(noisy(random));
        all.push_back({start, end, factor(random)});
        at = end;
    }
    return all;
}

/// Poisson arrivals of one pool, by thinning at the highest load.
void add_requests(deployment const& plan, scenario const& what, int service,
                  int zone, int slots, random_engine& random,
                  std::vector<planned_request>& out)
{
    auto const& entry = plan.m_services[static_cast<std::size_t>(service)];
    auto const work_factor = 1 + what.m_long_share * (long_factor - 1);
    auto const capacity = slots / (mean_service_seconds(entry) * work_factor);
    auto const highest = std::max(what.m_load, what.m_peak);
    std::exponential_distribution<> gap(capacity * highest);
    std::uniform_real_distribution<> unit(0, 1);
    std::lognormal_distribution<> work(std::log(entry.m_median_ms / 1000),
                                       service_sigma);
    std::uniform_real_distribution<> mixed(0.2, 1.8);
    random_engine deadline_random(random());
    time_point at{};
    while (true)
    {
        at += to_duration(gap(random));
        auto const since = at.time_since_epoch();
        if (since >= what.m_length)
        {
            return;
        }
        auto const kept = unit(random) * highest < load_at(what, since);
        auto const is_long = unit(random) < what.m_long_share;
        auto const seconds = std::min(largest_work_seconds, work(random));
        auto const host = static_cast<int>(unit(random) * 1e6);
        auto const deadline = is_long ? long_deadline
                              : what.m_mixed_deadlines
                                  ? to_duration(mixed(deadline_random))
                                  : short_deadline;
        if (!kept || (is_long && what.m_drop_long))
        {
            continue;
        }
        out.push_back(
            {.m_arrival = at,
             .m_service = service,
             .m_zone = zone,
             .m_host = host,
             .m_kind = is_long ? 1U : 0U,
             .m_work = to_duration(seconds * (is_long ? long_factor : 1)),
             .m_deadline = at + deadline});
    }
}

} // namespace

double load_at(scenario const& what, duration since_start)
{
    if (what.m_peak == 0 || since_start < what.m_event ||
        since_start >= what.m_event_end)
    {
        return what.m_load;
    }
    auto const share = std::min(
        1.0, std::chrono::duration<double>(since_start - what.m_event).count() /
                 std::chrono::duration<double>(ramp).count());
    return what.m_load + share * (what.m_peak - what.m_load);
}

workload make_workload(deployment const& plan, scenario const& what,
                       std::uint64_t seed)
{
    workload result;
    auto const places = place_targets(plan);
    random_engine noise_random(seed ^ 0x9e3779b97f4a7c15U);
    for (std::size_t i = 0; i < places.size(); ++i)
    {
        result.m_noise.push_back(what.m_noise
                                     ? make_noise(what.m_length, noise_random)
                                     : std::vector<noise>{});
    }
    for (int service = 0; service < static_cast<int>(plan.m_services.size());
         ++service)
    {
        for (int zone = 0; zone < plan.m_zones; ++zone)
        {
            // Each pool has its own engine, so that a change of one leaves
            // the others' arrivals as they are.
            random_engine random(
                seed +
                static_cast<std::uint64_t>(service * 16 + zone) * 1000003U);
            add_requests(plan, what, service, zone,
                         slots_of_pool(plan, places, service, zone), random,
                         result.m_requests);
        }
    }
    std::sort(result.m_requests.begin(), result.m_requests.end(),
              [](planned_request const& a, planned_request const& b)
              { return a.m_arrival < b.m_arrival; });
    return result;
}

} // namespace hawthornspur::bench
