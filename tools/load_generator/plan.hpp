#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_PLAN_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_PLAN_HPP

#include "base/result.hpp"
#include "common/service_time.hpp"
#include "core/time.hpp"
#include <hawthornspur/caller.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// A kind of request and its weight in the load.
struct load_kind
{
    std::string m_name = "get";
    std::string m_service = "map";
    std::string m_method = "GET";
    std::string m_path = "/";
    double m_weight = 1;
    call_rule m_rule = call_rule::idempotent;
    core::duration m_deadline = std::chrono::seconds(2);
    /// Time after which an idempotent call is sent to the next address; 0
    /// disables this.
    core::duration m_attempt_limit{0};
    std::uint64_t m_body_bytes = 0;
    std::uint64_t m_answer_bytes = 1024;
    /// The generator draws the service time and sends it with each request, so
    /// that the latency in excess of it is known. The prefix is not used.
    service_time_distribution m_service_time;
};

/// A step of the schedule in which the rate changes linearly.
struct load_step
{
    core::duration m_duration = std::chrono::seconds(1);
    /// Rate at the start of the step in calls per second.
    double m_start_rate = 0;
    /// Rate at the end of the step in calls per second.
    double m_end_rate = 0;
};

struct load_plan
{
    std::uint64_t m_seed = 1;
    std::vector<load_kind> m_kinds;
    std::vector<load_step> m_schedule;
};

/// Reads `{seed, kinds:[{name, service, method, path, weight, rule,
/// deadline_ms, attempt_limit_ms, body_bytes, answer_bytes, service_time:{
/// median_ms, sigma, tail_probability, tail_factor}}], schedule:[{
/// duration_ms, rate, to_rate}]}`. Errors: document_syntax, unknown_field,
/// wrong_type, value_out_of_range, missing_field.
result<load_plan> read_plan(std::string const& text);

nlohmann::json to_json(load_plan const& plan);

/// A planned request; m_time is relative to the start of the load.
struct arrival
{
    core::duration m_time{0};
    std::uint32_t m_kind = 0;
    core::duration m_service_time{0};
};

/// Draws arrivals of a Poisson process with the rates of the schedule, ordered
/// by time. The result depends only on the plan, including its seed.
std::vector<arrival> draw_arrivals(load_plan const& plan);

/// Returns the sum of the durations of all steps.
core::duration total_duration(load_plan const& plan);

} // namespace hawthornspur::tools

#endif
