#include "platform_emulator/store.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

/// Maximum staleness of reads that can be emulated.
constexpr core::duration max_staleness = std::chrono::minutes(10);
/// Bounds the memory of keys that are written often.
constexpr std::size_t max_versions_per_key = 64;

void add_version(key_value_store& store, std::string const& key,
                 std::optional<std::string> value, core::time_point now)
{
    auto& versions = store.m_keys[key];
    versions.push_back({now, ++store.m_last_revision, std::move(value)});
    while (versions.size() > max_versions_per_key ||
           (versions.size() > 1 && versions[1].m_since < now - max_staleness))
    {
        versions.pop_front();
    }
}

} // namespace

store_version const* find_version(key_value_store const& store,
                                  std::string const& key, core::time_point now,
                                  core::duration staleness)
{
    auto const found = store.m_keys.find(key);
    if (found == store.m_keys.end())
    {
        return nullptr;
    }
    auto const& versions = found->second;
    auto const version =
        std::find_if(versions.rbegin(), versions.rend(),
                     [&](store_version const& version)
                     { return version.m_since <= now - staleness; });
    return version == versions.rend() || !version->m_value ? nullptr
                                                           : &*version;
}

result<std::uint64_t>
compare_and_swap(key_value_store& store, std::string const& key,
                 std::string value, write_condition const& condition,
                 std::string const& lease, core::time_point now)
{
    if (value.size() > max_value_bytes)
    {
        return make_error(result_code::document_too_large,
                          "the value exceeds 1 MiB");
    }
    if (!lease.empty() && !store.m_leases.contains(lease))
    {
        return make_error(result_code::not_found,
                          "unknown or expired lease " + lease);
    }
    auto const* current = find_version(store, key, now);
    auto const found = current == nullptr ? 0 : current->m_revision;
    if (condition.m_epoch != 0 && condition.m_epoch != store.m_epoch)
    {
        return make_error(result_code::version_conflict,
                          "the store came back from an earlier state");
    }
    if (found != condition.m_revision)
    {
        return make_error(result_code::version_conflict,
                          "the current revision is " + std::to_string(found));
    }
    add_version(store, key, std::move(value), now);
    store.m_leased_keys.erase(key);
    if (!lease.empty())
    {
        store.m_leased_keys[key] = lease;
    }
    return store.m_last_revision;
}

std::string create_lease(key_value_store& store, core::duration lifetime,
                         core::time_point now)
{
    auto name = "lease-" + std::to_string(++store.m_last_lease);
    store.m_leases[name] = {now + lifetime, lifetime, now};
    return name;
}

status renew_lease(key_value_store& store, std::string const& lease,
                   core::time_point now)
{
    auto const found = store.m_leases.find(lease);
    if (found == store.m_leases.end() || found->second.m_expiry <= now)
    {
        return make_error(result_code::not_found,
                          "unknown or expired lease " + lease);
    }
    found->second.m_expiry = now + found->second.m_lifetime;
    return success();
}

void restore(key_value_store& store, core::duration age, core::time_point now)
{
    auto const restored_at = now - age;
    ++store.m_epoch;
    store.m_last_revision = 0;
    for (auto& [key, versions] : store.m_keys)
    {
        std::erase_if(versions, [&](store_version const& version)
                      { return version.m_since > restored_at; });
        for (auto const& version : versions)
        {
            store.m_last_revision =
                std::max(store.m_last_revision, version.m_revision);
        }
    }
    std::erase_if(store.m_keys,
                  [](auto const& entry) { return entry.second.empty(); });
    std::erase_if(store.m_leases, [&](auto const& entry)
                  { return entry.second.m_created > restored_at; });
    store.m_last_lease = store.m_leases.size();
    std::erase_if(store.m_leased_keys, [&](auto const& entry)
                  { return !store.m_keys.contains(entry.first); });
}

void expire_leases(key_value_store& store, core::time_point now)
{
    std::erase_if(store.m_leases, [&](auto const& entry)
                  { return entry.second.m_expiry <= now; });
    for (auto entry = store.m_leased_keys.begin();
         entry != store.m_leased_keys.end();)
    {
        if (store.m_leases.contains(entry->second))
        {
            ++entry;
            continue;
        }
        add_version(store, entry->first, std::nullopt, now);
        entry = store.m_leased_keys.erase(entry);
    }
}

} // namespace hawthornspur::tools
