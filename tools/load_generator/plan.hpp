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

/// One kind of request and its share of the load.
struct load_kind
{
    std::string m_name = "get";
    std::string m_service = "map";
    std::string m_method = "GET";
    std::string m_path = "/";
    double m_weight = 1;
    call_rule m_rule = call_rule::idempotent;
    core::duration m_deadline = std::chrono::seconds(2);
    /// An idempotent call goes to the next address after this; 0: never.
    core::duration m_attempt_limit{0};
    std::uint64_t m_body_bytes = 0;
    std::uint64_t m_answer_bytes = 1024;
    /// Drawn by the generator and sent with each request, so that the time
    /// beyond it is known. The prefix is not used.
    service_time m_service_time;
};

/// A part of the schedule, in which the rate changes evenly.
struct load_step
{
    core::duration m_duration = std::chrono::seconds(1);
    /// Calls a second.
    double m_from = 0;
    double m_to = 0;
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

/// A request that the generator sends at a time fixed beforehand.
struct arrival
{
    core::duration m_at{0};
    std::uint32_t m_kind = 0;
    core::duration m_service_time{0};
};

/// Draws a Poisson process with the rates of the schedule, in order of time.
/// It depends on nothing but the plan.
std::vector<arrival> draw_arrivals(load_plan const& plan);

core::duration length_of(load_plan const& plan);

} // namespace hawthornspur::tools

#endif
