#include "load_generator/plan.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

json_fields fields_of(load_kind& kind, std::string& rule)
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

char const* name_of(call_rule rule)
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
        auto const& part = row["service_time"];
        auto read = part.is_object()
                        ? read_fields(part, fields_of(kind.m_service_time))
                        : status(make_error(result_code::wrong_type,
                                            "service_time is not an object"));
        if (!has_value(read))
        {
            return read;
        }
        row.erase("service_time");
    }
    std::string rule = name_of(kind.m_rule);
    auto read = read_fields(row, fields_of(kind, rule));
    if (!has_value(read))
    {
        return read;
    }
    if (rule != "idempotent" && rule != "at_most_once")
    {
        return make_error(result_code::value_out_of_range,
                          "rule is idempotent or at_most_once");
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
    constexpr double same = -1;
    step.m_to = same;
    auto read = read_fields(row, {{"duration_ms", &step.m_duration},
                                  {"rate", &step.m_from},
                                  {"to_rate", &step.m_to}});
    if (step.m_to == same)
    {
        step.m_to = step.m_from;
    }
    return read;
}

template <class Row, class Read>
status read_rows(nlohmann::json const& rows, std::vector<Row>& into, Read read)
{
    if (!rows.is_array() || rows.empty())
    {
        return make_error(result_code::missing_field,
                          "a plan needs kinds and a schedule");
    }
    for (auto const& row : rows)
    {
        Row made;
        auto done = read(row, made);
        if (!has_value(done))
        {
            return done;
        }
        into.push_back(std::move(made));
    }
    return success();
}

core::duration seconds_of(double seconds)
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
    auto const rest = read_fields(document, {{"seed", &plan.m_seed}});
    for (auto const* read : {&kinds, &steps, &rest})
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
                          "no kind has a weight above 0");
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
        std::string rule = name_of(kind.m_rule);
        auto row = write_fields(fields_of(kind, rule));
        row["service_time"] = write_fields(fields_of(kind.m_service_time));
        document["kinds"].push_back(std::move(row));
    }
    for (auto& step : copy.m_schedule)
    {
        document["schedule"].push_back(
            write_fields({{"duration_ms", &step.m_duration},
                          {"rate", &step.m_from},
                          {"to_rate", &step.m_to}}));
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
    core::duration begin{0};
    for (auto const& step : plan.m_schedule)
    {
        // Arrivals at the higher rate, of which some are left out (thinning).
        double const most = std::max(step.m_from, step.m_to);
        double const length =
            std::chrono::duration<double>(step.m_duration).count();
        std::exponential_distribution<double> gap(std::max(most, 1e-9));
        for (double t = gap(random); most > 0 && t < length; t += gap(random))
        {
            double const rate =
                step.m_from + (step.m_to - step.m_from) * t / length;
            if (!std::bernoulli_distribution(rate / most)(random))
            {
                continue;
            }
            auto const kind = draw_kind(random);
            arrivals.push_back(
                {begin + seconds_of(t), kind,
                 draw(plan.m_kinds[kind].m_service_time, random)});
        }
        begin += step.m_duration;
    }
    return arrivals;
}

core::duration length_of(load_plan const& plan)
{
    core::duration length{0};
    for (auto const& step : plan.m_schedule)
    {
        length += step.m_duration;
    }
    return length;
}

} // namespace hawthornspur::tools
