#ifndef HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_RUN_RECORD_HPP
#define HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_RUN_RECORD_HPP

#include "core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornspur::tools
{

/// Number of runs, in total and by at-most-once key and request id.
struct run_record
{
    std::uint64_t m_runs = 0;
    std::unordered_map<std::string, std::uint64_t> m_keys;
    std::unordered_map<std::string, std::uint64_t> m_requests;
};

struct deadly_run
{
    core::time_point m_at{};
    std::string m_request_id;
};

/// Deadly requests that began to run, and times at which the target crashed.
struct crash_record
{
    std::vector<deadly_run> m_deadly_runs;
    std::vector<core::time_point> m_crashes;
};

/// Records one run; an empty key or id is not recorded.
void add_run(run_record& record, std::string_view key,
             std::string_view request_id);

void merge(run_record& into, run_record const& other);

/// `{runs, keys:{key:count}, requests:{id:count}, duplicate_keys:{...},
/// duplicate_requests:{...}}`
nlohmann::json to_json(run_record const& record);

/// `{deadly_runs:[{at_ms, request_id}], crashes:[ms]}`, in milliseconds of
/// CLOCK_BOOTTIME.
nlohmann::json to_json(crash_record const& record);

} // namespace hawthornspur::tools

#endif
