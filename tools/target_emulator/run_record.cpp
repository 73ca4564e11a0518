#include "target_emulator/run_record.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::tools
{

namespace
{

using counts = std::unordered_map<std::string, std::uint64_t>;

void add(counts& all, std::string_view name, std::uint64_t runs)
{
    if (!name.empty())
    {
        all[std::string(name)] += runs;
    }
}

nlohmann::json as_object(counts const& all, std::uint64_t at_least)
{
    auto object = nlohmann::json::object();
    for (auto const& [name, count] : all)
    {
        if (count >= at_least)
        {
            object[name] = count;
        }
    }
    return object;
}

} // namespace

void add_run(run_record& record, std::string_view key,
             std::string_view request_id)
{
    ++record.m_runs;
    add(record.m_keys, key, 1);
    add(record.m_requests, request_id, 1);
}

void merge(run_record& into, run_record const& other)
{
    into.m_runs += other.m_runs;
    for (auto const& [name, count] : other.m_keys)
    {
        add(into.m_keys, name, count);
    }
    for (auto const& [name, count] : other.m_requests)
    {
        add(into.m_requests, name, count);
    }
}

nlohmann::json to_json(run_record const& record)
{
    return {{"runs", record.m_runs},
            {"keys", as_object(record.m_keys, 1)},
            {"requests", as_object(record.m_requests, 1)},
            {"duplicate_keys", as_object(record.m_keys, 2)},
            {"duplicate_requests", as_object(record.m_requests, 2)}};
}

} // namespace hawthornspur::tools
