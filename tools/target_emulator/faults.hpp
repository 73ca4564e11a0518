#ifndef HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_FAULTS_HPP
#define HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_FAULTS_HPP

#include "common/json_fields.hpp"
#include "common/service_time.hpp"
#include "core/time.hpp"

#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// Behaviour and faults of a target, set with PUT /control/faults.
struct target_faults
{
    int m_slots = 3;
    /// Number of requests that can wait for a slot; further ones are shed.
    int m_queue = 0;
    std::uint64_t m_answer_bytes = 1024;
    /// Time for which a new connection or a probe makes the whole target stand
    /// still.
    core::duration m_connection_cost = std::chrono::milliseconds(1);
    core::duration m_probe_cost = std::chrono::milliseconds(6);
    /// Factor applied to all service times.
    double m_slow_factor = 1;
    /// Emulates a cold start: after each change of the faults, service times
    /// are multiplied by m_cold_factor, decreasing linearly to 1 over
    /// m_cold_time.
    core::duration m_cold_time{0};
    double m_cold_factor = 5;
    /// Each answer has the header Hawthornspur-Draining; health answers follow
    /// m_health and m_health_lag.
    bool m_draining = false;
    /// While draining, new requests are refused with the header
    /// Hawthornspur-Not-Run.
    bool m_refuse_when_draining = false;
    double m_shed_probability = 0;
    /// Fraction of requests that run and are answered at once with status 500.
    double m_fail_probability = 0;
    /// Fraction of requests that silence their connection.
    double m_silent_probability = 0;
    double m_truncate_probability = 0;
    /// Answers advertise m_rate_limit requests per second in the header
    /// Hawthornspur-Rate-Limit.
    bool m_advertise_rate_limit = false;
    double m_rate_limit = 0;
    double m_garbage_probability = 0;
    /// Fraction of requests that run and whose connection is closed without an
    /// answer.
    double m_reset_probability = 0;
    /// A request crashes the target if its path begins with this text, which is
    /// empty if none does, m_deadly_time after it has begun to run.
    std::string m_deadly_path;
    core::duration m_deadly_time{0};
    /// Time after a crash for which the target refuses connections.
    core::duration m_crash_time = std::chrono::seconds(3);
    /// "true", "healthy" or "unhealthy".
    std::string m_health = "true";
    /// Age of the draining state on which health answers are based.
    core::duration m_health_lag{0};
    /// Hawthornspur-Load: "true", "idle", "full" or "none".
    std::string m_load = "true";
    /// Age of the reported load.
    core::duration m_load_lag{0};
    std::vector<service_time_distribution> m_service_times = {
        service_time_distribution{}};
};

/// Returns all fields except service_times.
json_fields get_fields(target_faults& faults);

/// Assigns the fields that are present in the JSON text and leaves the others
/// unchanged. On an error no field is changed. Errors: document_syntax,
/// unknown_field, wrong_type, value_out_of_range.
status change_faults(target_faults& faults, std::string const& text);

nlohmann::json to_json(target_faults const& faults);

} // namespace hawthornspur::tools

#endif
