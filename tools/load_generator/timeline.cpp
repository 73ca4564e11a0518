#include "load_generator/timeline.hpp"

#include "load_generator/histogram.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace hawthornspur::tools
{

namespace
{

struct timeline_buckets
{
    std::vector<std::uint64_t> m_offered;
    std::vector<std::uint64_t> m_good;
    std::vector<std::uint64_t> m_goodput;
    std::vector<std::uint64_t> m_refused;
    std::vector<std::uint64_t> m_failed;
    std::vector<latency_histogram> m_latency;
};

void add(timeline_buckets& buckets, std::size_t arrival_bucket,
         std::size_t end_bucket, load_kind const& kind,
         request_record const& record)
{
    ++buckets.m_offered[arrival_bucket];
    bool const answered = record.m_outcome == request_outcome::answered;
    if (answered)
    {
        buckets.m_latency[arrival_bucket].add(record.m_latency);
    }
    if (answered && record.m_latency <= kind.m_deadline)
    {
        ++buckets.m_good[arrival_bucket];
        ++buckets.m_goodput[end_bucket];
        return;
    }
    bool const refused = record.m_outcome == request_outcome::failed &&
                         record.m_execution == execution::not_run;
    ++(refused ? buckets.m_refused : buckets.m_failed)[arrival_bucket];
}

} // namespace

nlohmann::json make_timeline(load_run const& run, core::duration bucket)
{
    auto const count =
        static_cast<std::size_t>(total_duration(run.m_plan) / bucket) + 1;
    timeline_buckets buckets;
    for (auto* counts :
         {&buckets.m_offered, &buckets.m_good, &buckets.m_goodput,
          &buckets.m_refused, &buckets.m_failed})
    {
        counts->resize(count);
    }
    buckets.m_latency.resize(count);
    for (std::size_t i = 0; i < run.m_records.size(); ++i)
    {
        auto const& planned = run.m_arrivals[i];
        auto const& record = run.m_records[i];
        auto const arrival_bucket =
            static_cast<std::size_t>(planned.m_time / bucket);
        auto const end_bucket = std::min(
            count - 1, static_cast<std::size_t>(
                           (planned.m_time + record.m_latency) / bucket));
        add(buckets, std::min(arrival_bucket, count - 1), end_bucket,
            run.m_plan.m_kinds[planned.m_kind], record);
    }
    auto p50 = nlohmann::json::array();
    auto p99 = nlohmann::json::array();
    for (auto const& latency : buckets.m_latency)
    {
        p50.push_back(latency.percentile(0.5));
        p99.push_back(latency.percentile(0.99));
    }
    return {{"bucket_ms",
             std::chrono::duration<double, std::milli>(bucket).count()},
            {"offered", buckets.m_offered},
            {"good", buckets.m_good},
            {"goodput", buckets.m_goodput},
            {"refused", buckets.m_refused},
            {"failed", buckets.m_failed},
            {"p50_ms", std::move(p50)},
            {"p99_ms", std::move(p99)}};
}

} // namespace hawthornspur::tools
