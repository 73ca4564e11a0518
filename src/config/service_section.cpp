#include "config/quantity.hpp"
#include "config/sections.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::config
{

namespace
{

void read_probe_budget(object_reader& reader, core::probe_budget_config& out)
{
    using std::chrono::nanoseconds;
    using std::chrono::seconds;
    read_duration(reader, "cost_per_second", presence::optional, nanoseconds(0),
                  seconds(1), out.m_cost_per_second);
    read_duration(reader, "probe_cost", presence::optional, nanoseconds(1),
                  seconds(1), out.m_probe_cost);
    read_duration(reader, "connection_cost", presence::optional, nanoseconds(0),
                  seconds(1), out.m_connection_cost);
    read_text(reader, "path", presence::optional, path_rule, out.m_path);
}

void read_retry_budget(object_reader& reader, core::retry_budget_config& out)
{
    constexpr double max_burst = 10'000;
    read_number(reader, "ratio", presence::optional, 0, 1, out.m_ratio);
    read_number(reader, "burst", presence::optional, 0, max_burst, out.m_burst);
}

nlohmann::ordered_json
print_probe_budget(core::probe_budget_config const& budget)
{
    nlohmann::ordered_json out;
    out["cost_per_second"] = print_duration(budget.m_cost_per_second);
    out["probe_cost"] = print_duration(budget.m_probe_cost);
    out["connection_cost"] = print_duration(budget.m_connection_cost);
    out["path"] = budget.m_path;
    return out;
}

nlohmann::ordered_json
print_retry_budget(core::retry_budget_config const& budget)
{
    nlohmann::ordered_json out;
    out["ratio"] = budget.m_ratio;
    out["burst"] = budget.m_burst;
    return out;
}

} // namespace

void read_service(object_reader& reader, core::service_config& out)
{
    constexpr auto kibibyte = std::size_t{1} << 10U;
    constexpr auto gibibyte = std::size_t{1} << 30U;
    // Request bodies are buffered completely; the limit bounds memory.
    constexpr auto max_body_bytes = std::size_t{64} << 20U;
    constexpr std::uint64_t max_queue_length = 1'000'000;
    read_text(reader, "name", presence::required, name_rule, out.m_name);
    read_objects(reader, "kinds", presence::required, 0, max_kinds, read_kind,
                 out.m_kinds);
    read_objects(reader, "targets", presence::required, 0, max_targets,
                 read_target, out.m_targets);
    read_object(reader, "probe_budget", presence::optional,
                [&](object_reader& inner)
                { read_probe_budget(inner, out.m_probe_budget); });
    read_object(reader, "retry_budget", presence::optional,
                [&](object_reader& inner)
                { read_retry_budget(inner, out.m_retry_budget); });
    read_size(reader, "max_body", presence::optional, 0, max_body_bytes,
              out.m_max_body_bytes);
    read_size(reader, "max_answer", presence::optional, kibibyte, gibibyte,
              out.m_max_answer_bytes);
    read_integer(reader, "max_queue", presence::optional, 0, max_queue_length,
                 out.m_max_queue);
    constexpr std::uint64_t max_connections = 100'000;
    read_integer(reader, "max_connections", presence::optional, 1,
                 max_connections, out.m_max_connections);
    constexpr double max_cold_rate = 1e6;
    read_number(reader, "cold_rate", presence::optional, 0, max_cold_rate,
                out.m_cold_rate);
    read_duration(reader, "warm_up", presence::optional, core::duration(0),
                  std::chrono::hours(24), out.m_warm_up);
}

nlohmann::ordered_json print_service(core::service_config const& service)
{
    nlohmann::ordered_json out;
    out["name"] = service.m_name;
    auto kinds = nlohmann::ordered_json::array();
    for (auto const& kind : service.m_kinds)
    {
        kinds.push_back(print_kind(kind));
    }
    out["kinds"] = std::move(kinds);
    auto targets = nlohmann::ordered_json::array();
    for (auto const& target : service.m_targets)
    {
        targets.push_back(print_target(target));
    }
    out["targets"] = std::move(targets);
    out["probe_budget"] = print_probe_budget(service.m_probe_budget);
    out["retry_budget"] = print_retry_budget(service.m_retry_budget);
    out["max_body"] = print_size(service.m_max_body_bytes);
    out["max_answer"] = print_size(service.m_max_answer_bytes);
    out["max_queue"] = service.m_max_queue;
    if (service.m_max_connections != core::service_config{}.m_max_connections)
    {
        out["max_connections"] = service.m_max_connections;
    }
    if (service.m_cold_rate != core::service_config{}.m_cold_rate)
    {
        out["cold_rate"] = service.m_cold_rate;
    }
    if (service.m_warm_up != core::service_config{}.m_warm_up)
    {
        out["warm_up"] = print_duration(service.m_warm_up);
    }
    return out;
}

} // namespace hawthornspur::config
