#include "platform_emulator/store.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

/// Longest staleness that can be emulated.
constexpr core::duration history_time = std::chrono::minutes(10);
/// Bounds the memory of a key that is written all the time.
constexpr std::size_t max_versions = 64;

void add_version(store& s, std::string const& key,
                 std::optional<std::string> value, core::time_point now)
{
    auto& versions = s.m_keys[key];
    versions.push_back({now, ++s.m_last_revision, std::move(value)});
    while (versions.size() > max_versions ||
           (versions.size() > 1 && versions[1].m_since < now - history_time))
    {
        versions.pop_front();
    }
}

} // namespace

store_version const* find(store const& s, std::string const& key,
                          core::time_point now, core::duration staleness)
{
    auto const found = s.m_keys.find(key);
    if (found == s.m_keys.end())
    {
        return nullptr;
    }
    auto const& versions = found->second;
    auto const version = std::find_if(versions.rbegin(), versions.rend(),
                                      [&](store_version const& v)
                                      { return v.m_since <= now - staleness; });
    return version == versions.rend() || !version->m_value ? nullptr
                                                           : &*version;
}

result<std::uint64_t> compare_and_swap(store& s, std::string const& key,
                                       std::string value,
                                       std::uint64_t revision,
                                       std::string const& lease,
                                       core::time_point now)
{
    if (value.size() > max_value_bytes)
    {
        return make_error(result_code::document_too_large,
                          "the value exceeds one megabyte");
    }
    if (!lease.empty() && !s.m_leases.contains(lease))
    {
        return make_error(result_code::not_found, "no lease " + lease);
    }
    auto const* present = find(s, key, now);
    auto const found = present == nullptr ? 0 : present->m_revision;
    if (found != revision)
    {
        return make_error(result_code::version_conflict,
                          "the revision is " + std::to_string(found));
    }
    add_version(s, key, std::move(value), now);
    s.m_leased_keys.erase(key);
    if (!lease.empty())
    {
        s.m_leased_keys[key] = lease;
    }
    return s.m_last_revision;
}

std::string create_lease(store& s, core::duration lifetime,
                         core::time_point now)
{
    auto name = "lease-" + std::to_string(++s.m_last_lease);
    s.m_leases[name] = {now + lifetime, lifetime};
    return name;
}

status renew_lease(store& s, std::string const& lease, core::time_point now)
{
    auto const found = s.m_leases.find(lease);
    if (found == s.m_leases.end() || found->second.m_ends <= now)
    {
        return make_error(result_code::not_found, "no lease " + lease);
    }
    found->second.m_ends = now + found->second.m_lifetime;
    return success();
}

void expire_leases(store& s, core::time_point now)
{
    std::erase_if(s.m_leases, [&](auto const& entry)
                  { return entry.second.m_ends <= now; });
    for (auto entry = s.m_leased_keys.begin(); entry != s.m_leased_keys.end();)
    {
        if (s.m_leases.contains(entry->second))
        {
            ++entry;
            continue;
        }
        add_version(s, entry->first, std::nullopt, now);
        entry = s.m_leased_keys.erase(entry);
    }
}

} // namespace hawthornspur::tools
