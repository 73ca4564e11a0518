#include "serve/metrics.hpp"

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>
#include <tuple>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

namespace bh = boost::histogram;

constexpr double min_latency_ms = 0.01;
constexpr double max_latency_ms = 100'000;
constexpr unsigned bucket_count = 70;

auto make_latency_histogram()
{
    using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
    return bh::make_histogram(
        log_axis(bucket_count, min_latency_ms, max_latency_ms, "milliseconds"));
}

using latency_histogram = decltype(make_latency_histogram());

struct latency_series
{
    latency_histogram m_histogram = make_latency_histogram();
    double m_sum_ms = 0;
    std::uint64_t m_count = 0;
};

void record(latency_series& latencies, core::duration value)
{
    std::chrono::duration<double, std::milli> const ms = value;
    latencies.m_histogram(ms.count());
    latencies.m_sum_ms += ms.count();
    ++latencies.m_count;
}

prometheus::ClientMetric to_metric(latency_series const& latencies)
{
    prometheus::ClientMetric metric;
    auto& histogram = metric.histogram;
    histogram.sample_count = latencies.m_count;
    histogram.sample_sum = latencies.m_sum_ms;
    std::uint64_t cumulative_count = 0;
    for (auto&& bin : bh::indexed(latencies.m_histogram, bh::coverage::all))
    {
        cumulative_count += static_cast<std::uint64_t>(*bin);
        histogram.bucket.push_back({cumulative_count, bin.bin().upper()});
    }
    return metric;
}

using labels = std::vector<std::pair<std::string, std::string>>;

std::vector<prometheus::ClientMetric::Label> to_labels(labels const& label_list)
{
    std::vector<prometheus::ClientMetric::Label> out;
    out.reserve(label_list.size());
    for (auto const& [name, value] : label_list)
    {
        out.push_back({name, value});
    }
    return out;
}

prometheus::MetricFamily counter_family(std::string name, std::string help)
{
    return {
        std::move(name), std::move(help), prometheus::MetricType::Counter, {}};
}

void add_counter(prometheus::MetricFamily& family, labels const& label_list,
                 std::uint64_t value)
{
    prometheus::ClientMetric metric;
    metric.label = to_labels(label_list);
    metric.counter.value = static_cast<double>(value);
    family.metric.push_back(std::move(metric));
}

} // namespace

struct metrics::state
{
    std::map<std::pair<std::string, result_code>, std::uint64_t> m_results;
    std::map<std::pair<std::string, core::attempt_reason>, std::uint64_t>
        m_attempts;
    std::map<std::string, std::uint64_t, std::less<>> m_forwards;
    std::map<std::string, std::uint64_t, std::less<>> m_events;
    std::map<std::string, latency_series> m_calls;
    latency_series m_added_time;
};

metrics::metrics()
    : m_state(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::count_result(std::string const& service, result_code code)
{
    ++m_state->m_results[{service, code}];
}

void metrics::count_attempt(std::string const& service,
                            core::attempt_reason reason)
{
    ++m_state->m_attempts[{service, reason}];
}

namespace
{

void increment(std::map<std::string, std::uint64_t, std::less<>>& counters,
               std::string_view name)
{
    auto const found = counters.find(name);
    if (found == counters.end())
    {
        counters.emplace(name, 1);
        return;
    }
    ++found->second;
}

} // namespace

void metrics::count_forward(std::string_view reason)
{
    increment(m_state->m_forwards, reason);
}

void metrics::count_event(std::string_view event)
{
    increment(m_state->m_events, event);
}

void metrics::record_call_time(std::string const& service, core::duration total)
{
    record(m_state->m_calls[service], total);
}

void metrics::record_added_time(core::duration added)
{
    record(m_state->m_added_time, added);
}

std::string metrics::to_text(std::vector<sample> const& samples) const
{
    std::vector<prometheus::MetricFamily> families;
    auto results = counter_family("hawthornspur_results_total",
                                  "Ended calls by service and result code.");
    for (auto const& [key, value] : m_state->m_results)
    {
        auto const& row = info(key.second);
        add_counter(
            results,
            {{"service", key.first},
             {"code", std::to_string(static_cast<unsigned>(row.m_code))},
             {"name", std::string(row.m_name)},
             {"execution",
              std::string(hawthornspur::to_string(row.m_execution))}},
            value);
    }
    families.push_back(std::move(results));
    auto attempts = counter_family("hawthornspur_attempts_total",
                                   "Attempts at targets by reason.");
    for (auto const& [key, value] : m_state->m_attempts)
    {
        add_counter(attempts,
                    {{"service", key.first},
                     {"reason", std::string(to_string(key.second))}},
                    value);
    }
    families.push_back(std::move(attempts));
    auto forwards =
        counter_family("hawthornspur_forwards_total",
                       "Requests sent on to another host by reason.");
    for (auto const& [reason, value] : m_state->m_forwards)
    {
        add_counter(forwards, {{"reason", reason}}, value);
    }
    families.push_back(std::move(forwards));
    auto events =
        counter_family("hawthornspur_events_total", "Other events by name.");
    for (auto const& [event, value] : m_state->m_events)
    {
        add_counter(events, {{"event", event}}, value);
    }
    families.push_back(std::move(events));
    prometheus::MetricFamily calls{"hawthornspur_call_milliseconds",
                                   "Time from arrival to the end of the "
                                   "answer.",
                                   prometheus::MetricType::Histogram,
                                   {}};
    for (auto const& [service, value] : m_state->m_calls)
    {
        auto metric = to_metric(value);
        metric.label = {{"service", service}};
        calls.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(calls));
    families.push_back({"hawthornspur_added_milliseconds",
                        "Time that calls spent on this host beyond the "
                        "target's own time.",
                        prometheus::MetricType::Histogram,
                        {to_metric(m_state->m_added_time)}});
    for (auto const& sample : samples)
    {
        if (families.back().name != sample.m_name)
        {
            families.push_back({sample.m_name,
                                sample.m_help,
                                sample.m_is_counter
                                    ? prometheus::MetricType::Counter
                                    : prometheus::MetricType::Gauge,
                                {}});
        }
        prometheus::ClientMetric metric;
        metric.label = to_labels(sample.m_labels);
        metric.counter.value = sample.m_value;
        metric.gauge.value = sample.m_value;
        families.back().metric.push_back(std::move(metric));
    }
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, families);
    return out.str();
}

std::string_view to_string(core::attempt_reason reason) noexcept
{
    using enum core::attempt_reason;
    switch (reason)
    {
    case first:
        return "first";
    case retry_after_shed:
        return "retry_after_shed";
    case retry_after_connect_failure:
        return "retry_after_connect_failure";
    case retry_after_silence:
        return "retry_after_silence";
    case retry_after_close:
        return "retry_after_close";
    case retry_after_malformed_answer:
        return "retry_after_malformed_answer";
    case hedge:
        return "hedge";
    case retry_after_other_host:
        return "retry_after_other_host";
    }
    return "unknown";
}

} // namespace hawthornspur::serve
