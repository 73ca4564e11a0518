#include "target_emulator/faults.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

result<std::vector<service_time_distribution>>
read_service_times(nlohmann::json const& rows)
{
    if (!rows.is_array())
    {
        return make_error(result_code::wrong_type,
                          "service_times is not an array");
    }
    std::vector<service_time_distribution> read;
    for (auto const& row : rows)
    {
        service_time_distribution distribution;
        auto const changed =
            row.is_object()
                ? read_fields(row, get_fields(distribution))
                : status(make_error(result_code::wrong_type,
                                    "a service time is not an object"));
        if (!has_value(changed))
        {
            return failure(changed);
        }
        read.push_back(std::move(distribution));
    }
    return read;
}

bool is_one_of(std::string const& text,
               std::initializer_list<char const*> choices)
{
    return std::find(choices.begin(), choices.end(), text) != choices.end();
}

status check_ranges(target_faults const& faults)
{
    auto const probabilities = std::to_array<double>(
        {faults.m_shed_probability, faults.m_fail_probability,
         faults.m_silent_probability, faults.m_truncate_probability,
         faults.m_garbage_probability, faults.m_reset_probability});
    bool is_valid = std::all_of(probabilities.begin(), probabilities.end(),
                                [](double probability) {
                                    return probability >= 0 && probability <= 1;
                                });
    for (auto const& row : faults.m_service_times)
    {
        is_valid = is_valid && row.m_tail_probability <= 1;
    }
    is_valid = is_valid && faults.m_slots >= 0 && faults.m_queue >= 0 &&
               is_one_of(faults.m_health, {"true", "healthy", "unhealthy"}) &&
               is_one_of(faults.m_load, {"true", "idle", "full", "none"});
    return is_valid ? success()
                    : make_error(result_code::value_out_of_range,
                                 "a value is out of range");
}

} // namespace

json_fields get_fields(target_faults& faults)
{
    return {
        {"slots", &faults.m_slots},
        {"queue", &faults.m_queue},
        {"answer_bytes", &faults.m_answer_bytes},
        {"connection_cost_ms", &faults.m_connection_cost},
        {"probe_cost_ms", &faults.m_probe_cost},
        {"slow_factor", &faults.m_slow_factor},
        {"cold_time_ms", &faults.m_cold_time},
        {"cold_factor", &faults.m_cold_factor},
        {"draining", &faults.m_draining},
        {"refuse_when_draining", &faults.m_refuse_when_draining},
        {"shed_probability", &faults.m_shed_probability},
        {"fail_probability", &faults.m_fail_probability},
        {"silent_probability", &faults.m_silent_probability},
        {"truncate_probability", &faults.m_truncate_probability},
        {"garbage_probability", &faults.m_garbage_probability},
        {"reset_probability", &faults.m_reset_probability},
        {"deadly_path", &faults.m_deadly_path},
        {"deadly_after_ms", &faults.m_deadly_time},
        {"crash_time_ms", &faults.m_crash_time},
        {"health", &faults.m_health},
        {"health_lag_ms", &faults.m_health_lag},
        {"advertise_rate_limit", &faults.m_advertise_rate_limit},
        {"rate_limit", &faults.m_rate_limit},
        {"load", &faults.m_load},
        {"load_lag_ms", &faults.m_load_lag},
    };
}

status change_faults(target_faults& faults, std::string const& text)
{
    auto parsed = parse_object(text);
    if (!has_value(parsed))
    {
        return failure(parsed);
    }
    auto document = take(std::move(parsed));
    auto changed = faults;
    if (document.contains("service_times"))
    {
        auto rows = read_service_times(document["service_times"]);
        if (!has_value(rows))
        {
            return failure(rows);
        }
        changed.m_service_times = take(std::move(rows));
        document.erase("service_times");
    }
    auto read = read_fields(document, get_fields(changed));
    if (!has_value(read))
    {
        return read;
    }
    auto checked = check_ranges(changed);
    if (has_value(checked))
    {
        faults = std::move(changed);
    }
    return checked;
}

nlohmann::json to_json(target_faults const& faults)
{
    auto copy = faults;
    auto object = write_fields(get_fields(copy));
    auto rows = nlohmann::json::array();
    for (auto& row : copy.m_service_times)
    {
        rows.push_back(write_fields(get_fields(row)));
    }
    object["service_times"] = std::move(rows);
    return object;
}

} // namespace hawthornspur::tools
