#include "target_emulator/run_record.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::tools
{

namespace
{

using run_counts = std::unordered_map<std::string, std::uint64_t>;

void add_count(run_counts& counts, std::string_view name, std::uint64_t runs)
{
    if (!name.empty())
    {
        counts[std::string(name)] += runs;
    }
}

nlohmann::json to_object(run_counts const& counts, std::uint64_t min_runs)
{
    auto object = nlohmann::json::object();
    for (auto const& [name, count] : counts)
    {
        if (count >= min_runs)
        {
            object[name] = count;
        }
    }
    return object;
}

double to_milliseconds(core::time_point time)
{
    return std::chrono::duration<double, std::milli>(time.time_since_epoch())
        .count();
}

} // namespace

void add_run(run_record& record, std::string_view key,
             std::string_view request_id)
{
    ++record.m_runs;
    add_count(record.m_keys, key, 1);
    add_count(record.m_requests, request_id, 1);
}

void merge(run_record& into, run_record const& other)
{
    into.m_runs += other.m_runs;
    for (auto const& [name, count] : other.m_keys)
    {
        add_count(into.m_keys, name, count);
    }
    for (auto const& [name, count] : other.m_requests)
    {
        add_count(into.m_requests, name, count);
    }
}

nlohmann::json to_json(run_record const& record)
{
    return {{"runs", record.m_runs},
            {"keys", to_object(record.m_keys, 1)},
            {"requests", to_object(record.m_requests, 1)},
            {"duplicate_keys", to_object(record.m_keys, 2)},
            {"duplicate_requests", to_object(record.m_requests, 2)}};
}

nlohmann::json to_json(crash_record const& record)
{
    auto runs = nlohmann::json::array();
    for (auto const& run : record.m_deadly_runs)
    {
        runs.push_back({{"at_ms", to_milliseconds(run.m_at)},
                        {"request_id", run.m_request_id}});
    }
    auto crashes = nlohmann::json::array();
    for (auto const& time : record.m_crashes)
    {
        crashes.push_back(to_milliseconds(time));
    }
    return {{"deadly_runs", std::move(runs)}, {"crashes", std::move(crashes)}};
}

} // namespace hawthornspur::tools
