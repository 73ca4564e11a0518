#include "load_generator/plan.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

json_fields get_fields(load_kind& kind, std::string& rule)
{
    return {
        {"name", &kind.m_name},
        {"service", &kind.m_service},
        {"method", &kind.m_method},
        {"path", &kind.m_path},
        {"weight", &kind.m_weight},
        {"rule", &rule},
        {"deadline_ms", &kind.m_deadline},
        {"attempt_limit_ms", &kind.m_attempt_limit},
        {"body_bytes", &kind.m_body_bytes},
        {"answer_bytes", &kind.m_answer_bytes},
    };
}

char const* rule_name(call_rule rule)
{
    return rule == call_rule::idempotent ? "idempotent" : "at_most_once";
}

status read_kind(nlohmann::json row, load_kind& kind)
{
    if (!row.is_object())
    {
        return make_error(result_code::wrong_type, "a kind is not an object");
    }
    if (row.contains("service_time"))
    {
        auto const& service_time = row["service_time"];
        auto read =
            service_time.is_object()
                ? read_fields(service_time, get_fields(kind.m_service_time))
                : status(make_error(result_code::wrong_type,
                                    "service_time is not an object"));
        if (!has_value(read))
        {
            return read;
        }
        row.erase("service_time");
    }
    std::string rule = rule_name(kind.m_rule);
    auto read = read_fields(row, get_fields(kind, rule));
    if (!has_value(read))
    {
        return read;
    }
    if (rule != "idempotent" && rule != "at_most_once")
    {
        return make_error(result_code::value_out_of_range,
                          "rule must be idempotent or at_most_once");
    }
    kind.m_rule =
        rule == "idempotent" ? call_rule::idempotent : call_rule::at_most_once;
    return success();
}

status read_step(nlohmann::json const& row, load_step& step)
{
    if (!row.is_object() || !row.contains("rate"))
    {
        return make_error(result_code::missing_field,
                          "a step of the schedule has no rate");
    }
    constexpr double rate_not_set = -1;
    step.m_end_rate = rate_not_set;
    auto read = read_fields(row, {{"duration_ms", &step.m_duration},
                                  {"rate", &step.m_start_rate},
                                  {"to_rate", &step.m_end_rate}});
    if (step.m_end_rate == rate_not_set)
    {
        step.m_end_rate = step.m_start_rate;
    }
    return read;
}

template <class Row, class ReadRow>
status read_rows(nlohmann::json const& rows, std::vector<Row>& parsed_rows,
                 ReadRow read)
{
    if (!rows.is_array() || rows.empty())
    {
        return make_error(
            result_code::missing_field,
            "a plan needs the non-empty arrays kinds and schedule");
    }
    for (auto const& row : rows)
    {
        Row parsed_row;
        auto row_status = read(row, parsed_row);
        if (!has_value(row_status))
        {
            return row_status;
        }
        parsed_rows.push_back(std::move(parsed_row));
    }
    return success();
}

core::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

result<load_plan> read_plan(std::string const& text)
{
    auto parsed = parse_object(text);
    if (!has_value(parsed))
    {
        return failure(parsed);
    }
    auto document = take(std::move(parsed));
    load_plan plan;
    auto const kinds = read_rows(document["kinds"], plan.m_kinds,
                                 [](auto const& row, auto& kind)
                                 { return read_kind(row, kind); });
    auto const steps = read_rows(document["schedule"], plan.m_schedule,
                                 [](auto const& row, auto& step)
                                 { return read_step(row, step); });
    document.erase("kinds");
    document.erase("schedule");
    auto const seed_status = read_fields(document, {{"seed", &plan.m_seed}});
    for (auto const* read : {&kinds, &steps, &seed_status})
    {
        if (!has_value(*read))
        {
            return failure(*read);
        }
    }
    if (std::none_of(plan.m_kinds.begin(), plan.m_kinds.end(),
                     [](load_kind const& kind) { return kind.m_weight > 0; }))
    {
        return make_error(result_code::value_out_of_range,
                          "at least one kind needs a weight above 0");
    }
    return plan;
}

nlohmann::json to_json(load_plan const& plan)
{
    auto copy = plan;
    nlohmann::json document{{"seed", plan.m_seed},
                            {"kinds", nlohmann::json::array()},
                            {"schedule", nlohmann::json::array()}};
    for (auto& kind : copy.m_kinds)
    {
        std::string rule = rule_name(kind.m_rule);
        auto row = write_fields(get_fields(kind, rule));
        row["service_time"] = write_fields(get_fields(kind.m_service_time));
        document["kinds"].push_back(std::move(row));
    }
    for (auto& step : copy.m_schedule)
    {
        document["schedule"].push_back(
            write_fields({{"duration_ms", &step.m_duration},
                          {"rate", &step.m_start_rate},
                          {"to_rate", &step.m_end_rate}}));
    }
    return document;
}

std::vector<arrival> draw_arrivals(load_plan const& plan)
{
    std::mt19937_64 random(plan.m_seed);
    std::vector<double> weights;
    for (auto const& kind : plan.m_kinds)
    {
        weights.push_back(kind.m_weight);
    }
    std::discrete_distribution<std::uint32_t> draw_kind(weights.begin(),
                                                        weights.end());
    std::vector<arrival> arrivals;
    core::duration step_start{0};
    for (auto const& step : plan.m_schedule)
    {
        // Thinning: draws arrivals at the higher rate and drops some of them.
        double const peak_rate = std::max(step.m_start_rate, step.m_end_rate);
        double const step_seconds =
            std::chrono::duration<double>(step.m_duration).count();
        std::exponential_distribution<double> interarrival_time(
            std::max(peak_rate, 1e-9));
        for (double offset = interarrival_time(random);
             peak_rate > 0 && offset < step_seconds;
             offset += interarrival_time(random))
        {
            double const rate =
                step.m_start_rate +
                (step.m_end_rate - step.m_start_rate) * offset / step_seconds;
            if (!std::bernoulli_distribution(rate / peak_rate)(random))
            {
                continue;
            }
            auto const kind = draw_kind(random);
            arrivals.push_back(
                {step_start + to_duration(offset), kind,
                 draw_service_time(plan.m_kinds[kind].m_service_time, random)});
        }
        step_start += step.m_duration;
    }
    return arrivals;
}

core::duration total_duration(load_plan const& plan)
{
    core::duration total{0};
    for (auto const& step : plan.m_schedule)
    {
        total += step.m_duration;
    }
    return total;
}

} // namespace hawthornspur::tools
