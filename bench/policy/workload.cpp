#include "workload.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornspur::bench
{

namespace
{

constexpr duration ramp_time = std::chrono::seconds(1);
constexpr double quiet_mean_seconds = 2;
constexpr double noisy_mean_seconds = 0.05;
constexpr double max_work_seconds = 1;

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

std::vector<noise> make_noise(duration length, random_engine& random)
{
    std::exponential_distribution<> quiet(1 / quiet_mean_seconds);
    std::exponential_distribution<> noisy(1 / noisy_mean_seconds);
    std::uniform_real_distribution<> factor(2, max_noise_factor);
    std::vector<noise> intervals;
    time_point time{};
    while (time.time_since_epoch() < length)
    {
        auto const start = time + to_duration(quiet(random));
        auto const end = start + to_duration(noisy(random));
        intervals.push_back({start, end, factor(random)});
        time = end;
    }
    return intervals;
}

/// Generates the Poisson arrivals of one pool by thinning the arrivals at the
/// highest load.
void add_requests(deployment const& plan, scenario const& settings, int service,
                  int zone, int slots, random_engine& random,
                  std::vector<planned_request>& out)
{
    auto const& entry = plan.m_services[static_cast<std::size_t>(service)];
    auto const work_factor = 1 + settings.m_long_share * (long_work_factor - 1);
    auto const capacity = slots / (mean_service_seconds(entry) * work_factor);
    auto const highest_load = std::max(settings.m_load, settings.m_peak);
    std::exponential_distribution<> interarrival_time(capacity * highest_load);
    std::uniform_real_distribution<> unit(0, 1);
    std::lognormal_distribution<> work(std::log(entry.m_median_ms / 1000),
                                       service_sigma);
    std::uniform_real_distribution<> mixed_deadline(0.2, 1.8);
    random_engine deadline_random(random());
    time_point time{};
    while (true)
    {
        time += to_duration(interarrival_time(random));
        auto const since_start = time.time_since_epoch();
        if (since_start >= settings.m_duration)
        {
            return;
        }
        auto const is_accepted =
            unit(random) * highest_load < load_at(settings, since_start);
        auto const is_long = unit(random) < settings.m_long_share;
        auto const seconds = std::min(max_work_seconds, work(random));
        auto const host = static_cast<int>(unit(random) * 1e6);
        auto const deadline = is_long ? long_deadline
                              : settings.m_mixed_deadlines
                                  ? to_duration(mixed_deadline(deadline_random))
                                  : short_deadline;
        if (!is_accepted || (is_long && settings.m_omits_long))
        {
            continue;
        }
        out.push_back(
            {.m_arrival = time,
             .m_service = service,
             .m_zone = zone,
             .m_host = host,
             .m_kind = is_long ? 1U : 0U,
             .m_work = to_duration(seconds * (is_long ? long_work_factor : 1)),
             .m_deadline = time + deadline});
    }
}

} // namespace

double load_at(scenario const& settings, duration since_start)
{
    if (settings.m_peak == 0 || since_start < settings.m_disturbance_start ||
        since_start >= settings.m_disturbance_end)
    {
        return settings.m_load;
    }
    auto const ramp_share =
        std::min(1.0, std::chrono::duration<double>(
                          since_start - settings.m_disturbance_start)
                              .count() /
                          std::chrono::duration<double>(ramp_time).count());
    return settings.m_load + ramp_share * (settings.m_peak - settings.m_load);
}

workload make_workload(deployment const& plan, scenario const& settings,
                       std::uint64_t seed)
{
    workload result;
    auto const places = place_targets(plan);
    random_engine noise_random(seed ^ 0x9e3779b97f4a7c15U);
    for (std::size_t i = 0; i < places.size(); ++i)
    {
        result.m_noise.push_back(
            settings.m_noise ? make_noise(settings.m_duration, noise_random)
                             : std::vector<noise>{});
    }
    for (int service = 0; service < static_cast<int>(plan.m_services.size());
         ++service)
    {
        for (int zone = 0; zone < plan.m_zones; ++zone)
        {
            // A separate engine per pool keeps the arrivals of the other pools
            // unchanged when one pool changes.
            random_engine random(
                seed +
                static_cast<std::uint64_t>(service * 16 + zone) * 1000003U);
            add_requests(plan, settings, service, zone,
                         pool_slot_count(plan, places, service, zone), random,
                         result.m_requests);
        }
    }
    std::sort(result.m_requests.begin(), result.m_requests.end(),
              [](planned_request const& a, planned_request const& b)
              { return a.m_arrival < b.m_arrival; });
    return result;
}

} // namespace hawthornspur::bench
