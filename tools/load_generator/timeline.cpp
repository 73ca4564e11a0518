#include "load_generator/timeline.hpp"

#include "load_generator/histogram.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace hawthornspur::tools
{

namespace
{

struct buckets
{
    std::vector<std::uint64_t> m_offered;
    std::vector<std::uint64_t> m_good;
    std::vector<std::uint64_t> m_goodput;
    std::vector<std::uint64_t> m_refused;
    std::vector<std::uint64_t> m_failed;
    std::vector<latency_histogram> m_latency;
};

void add(buckets& all, std::size_t at, std::size_t end, load_kind const& kind,
         request_record const& record)
{
    ++all.m_offered[at];
    bool const answered = record.m_end == request_end::answered;
    if (answered)
    {
        all.m_latency[at].add(record.m_latency);
    }
    if (answered && record.m_latency <= kind.m_deadline)
    {
        ++all.m_good[at];
        ++all.m_goodput[end];
        return;
    }
    bool const refused = record.m_end == request_end::failed &&
                         record.m_execution == execution::not_run;
    ++(refused ? all.m_refused : all.m_failed)[at];
}

} // namespace

nlohmann::json make_timeline(load_run const& run, core::duration bucket)
{
    auto const count =
        static_cast<std::size_t>(length_of(run.m_plan) / bucket) + 1;
    buckets all;
    for (auto* counts : {&all.m_offered, &all.m_good, &all.m_goodput,
                         &all.m_refused, &all.m_failed})
    {
        counts->resize(count);
    }
    all.m_latency.resize(count);
    for (std::size_t i = 0; i < run.m_records.size(); ++i)
    {
        auto const& a = run.m_arrivals[i];
        auto const& record = run.m_records[i];
        auto const at = static_cast<std::size_t>(a.m_at / bucket);
        auto const end = std::min(
            count - 1,
            static_cast<std::size_t>((a.m_at + record.m_latency) / bucket));
        add(all, std::min(at, count - 1), end, run.m_plan.m_kinds[a.m_kind],
            record);
    }
    auto p50 = nlohmann::json::array();
    auto p99 = nlohmann::json::array();
    for (auto const& latency : all.m_latency)
    {
        p50.push_back(latency.percentile(0.5));
        p99.push_back(latency.percentile(0.99));
    }
    return {{"bucket_ms",
             std::chrono::duration<double, std::milli>(bucket).count()},
            {"offered", all.m_offered},
            {"good", all.m_good},
            {"goodput", all.m_goodput},
            {"refused", all.m_refused},
            {"failed", all.m_failed},
            {"p50_ms", std::move(p50)},
            {"p99_ms", std::move(p99)}};
}

} // namespace hawthornspur::tools
