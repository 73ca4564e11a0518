#include "config/quantity.hpp"
#include "config/sections.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace hawthornspur::config
{

namespace
{

using core::execution_rule;

constexpr std::string_view any_method = "any";

void read_statuses(object_reader& reader, std::vector<int>& out)
{
    constexpr std::size_t max_statuses = 20;
    constexpr int min_status = 400;
    constexpr int max_status = 599;
    read_list(reader, "not_run_statuses", presence::optional, 0, max_statuses,
              [&](nlohmann::json const& entry, std::string path)
              {
                  if (!entry.is_number_integer())
                  {
                      reader.m_faults->push_back(
                          {result_code::wrong_type, std::move(path),
                           "the entry is not a whole number; allowed: an HTTP "
                           "status, 400 to 599"});
                      return;
                  }
                  auto const status = entry.is_number_unsigned()
                                          ? entry.get<std::uint64_t>()
                                          : std::uint64_t{0};
                  if (status < min_status || status > max_status)
                  {
                      reader.m_faults->push_back(
                          {result_code::value_out_of_range, std::move(path),
                           "found " + entry.dump() +
                               "; allowed: an HTTP status, 400 to 599"});
                      return;
                  }
                  out.push_back(static_cast<int>(status));
              });
}

} // namespace

void read_kind(object_reader& reader, core::kind_config& out)
{
    constexpr int lowest_priority = 9;
    // A smaller share would be less than one slot of the largest pool.
    constexpr double min_share = 0.0001;
    read_text(reader, "name", presence::required, name_rule, out.m_name);
    static std::vector<std::string_view> const methods{
        any_method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    if (auto const method =
            read_keyword(reader, "method", presence::required, methods))
    {
        out.m_method = *method == 0 ? std::string_view() : methods[*method];
    }
    read_text(reader, "path_prefix", presence::required, path_rule,
              out.m_path_prefix);
    read_choice<execution_rule>(reader, "execution", presence::required,
                                {{"at_most_once", execution_rule::at_most_once},
                                 {"idempotent", execution_rule::idempotent}},
                                out.m_execution);
    read_duration(reader, "deadline", presence::optional,
                  std::chrono::milliseconds(1), std::chrono::hours(1),
                  out.m_deadline);
    read_integer(reader, "priority", presence::optional, 0, lowest_priority,
                 out.m_priority);
    read_number(reader, "max_share", presence::optional, min_share, 1,
                out.m_max_share);
    out.m_share_declared = reader.m_object->contains("max_share");
    read_boolean(reader, "hedge", presence::optional, out.m_hedge);
    if (out.m_hedge && out.m_execution == execution_rule::at_most_once)
    {
        report(reader, "hedge", result_code::value_out_of_range,
               "found true; allowed: false for an at_most_once kind, since a "
               "hedged request is sent twice");
    }
    read_statuses(reader, out.m_not_run_statuses);
    read_duration(reader, "target_latency", presence::optional,
                  core::duration(0), std::chrono::hours(1),
                  out.m_target_latency);
    constexpr std::uint64_t max_attempts = 100;
    read_integer(reader, "max_attempts", presence::optional, 1, max_attempts,
                 out.m_max_attempts);
    read_boolean(reader, "public", presence::optional, out.m_is_public);
}

nlohmann::ordered_json print_kind(core::kind_config const& kind)
{
    nlohmann::ordered_json out;
    out["name"] = kind.m_name;
    out["method"] =
        kind.m_method.empty() ? std::string(any_method) : kind.m_method;
    out["path_prefix"] = kind.m_path_prefix;
    out["execution"] = kind.m_execution == execution_rule::at_most_once
                           ? "at_most_once"
                           : "idempotent";
    out["deadline"] = print_duration(kind.m_deadline);
    out["priority"] = kind.m_priority;
    if (kind.m_share_declared)
    {
        out["max_share"] = kind.m_max_share;
    }
    out["hedge"] = kind.m_hedge;
    out["not_run_statuses"] = kind.m_not_run_statuses;
    if (kind.m_target_latency > core::duration(0))
    {
        out["target_latency"] = print_duration(kind.m_target_latency);
    }
    if (kind.m_max_attempts != core::kind_config{}.m_max_attempts)
    {
        out["max_attempts"] = kind.m_max_attempts;
    }
    if (kind.m_is_public)
    {
        out["public"] = true;
    }
    return out;
}

} // namespace hawthornspur::config
