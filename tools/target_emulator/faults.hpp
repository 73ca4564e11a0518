#ifndef HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_FAULTS_HPP
#define HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_FAULTS_HPP

#include "common/json_fields.hpp"
#include "common/service_time.hpp"
#include "core/time.hpp"

#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// Behaviour and faults of one target, changed by PUT /control/faults.
struct target_faults
{
    int m_slots = 3;
    /// Requests that wait for a slot before others are shed.
    int m_queue = 0;
    std::uint64_t m_answer_bytes = 1024;
    /// The whole target stands still for this long.
    core::duration m_connection_cost = std::chrono::milliseconds(1);
    core::duration m_probe_cost = std::chrono::milliseconds(6);
    /// Service times are multiplied by this.
    double m_slow_factor = 1;
    /// Service times are multiplied by m_cold_factor at first, which falls to
    /// 1 within this time from the change.
    core::duration m_cold_time{0};
    double m_cold_factor = 5;
    /// Each answer announces that the target leaves.
    bool m_draining = false;
    /// New requests are refused as not run while draining.
    bool m_refuse_when_draining = false;
    double m_shed_probability = 0;
    /// Share of requests answered at once with status 500, having run.
    double m_fail_probability = 0;
    /// Share of requests whose connection is silent from then on.
    double m_silent_probability = 0;
    double m_truncate_probability = 0;
    double m_garbage_probability = 0;
    /// "true", "healthy" or "unhealthy".
    std::string m_health = "true";
    /// Age of the state that a true health answer shows.
    core::duration m_health_lag{0};
    /// Hawthornspur-Load: "true", "idle", "full" or "none".
    std::string m_load = "true";
    /// Age of the load that is reported.
    core::duration m_load_lag{0};
    std::vector<service_time> m_service_times = {service_time{}};
};

/// All fields but service_times.
json_fields fields_of(target_faults& faults);

/// Changes what the text names and keeps the rest; nothing on an error.
/// Errors: document_syntax, unknown_field, wrong_type, value_out_of_range.
status change_faults(target_faults& faults, std::string const& text);

nlohmann::json to_json(target_faults const& faults);

} // namespace hawthornspur::tools

#endif
