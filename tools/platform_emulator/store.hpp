#ifndef HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_STORE_HPP
#define HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_STORE_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hawthornspur::tools
{

/// Largest value that the platform stores.
constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;

/// One state of a key; no value after the key was removed.
struct store_version
{
    core::time_point m_since{};
    std::uint64_t m_revision = 0;
    std::optional<std::string> m_value;
};

struct store_lease
{
    core::time_point m_ends{};
    core::duration m_lifetime{0};
};

/// The platform's key-value store. Older states of each key are kept for a
/// while so that stale reads can be emulated.
struct store
{
    std::map<std::string, std::deque<store_version>> m_keys;
    std::map<std::string, store_lease> m_leases;
    /// Key to the lease that it ends with.
    std::map<std::string, std::string> m_leased_keys;
    std::uint64_t m_last_revision = 0;
    std::uint64_t m_last_lease = 0;
};

/// The state of a key as it was `staleness` ago; null when it had no value.
store_version const* find(store const& s, std::string const& key,
                          core::time_point now,
                          core::duration staleness = core::duration::zero());

/// Writes if the key has this revision; 0 creates it. The new revision.
/// Errors: version_conflict, document_too_large, not_found for the lease.
result<std::uint64_t> compare_and_swap(store& s, std::string const& key,
                                       std::string value,
                                       std::uint64_t revision,
                                       std::string const& lease,
                                       core::time_point now);

std::string create_lease(store& s, core::duration lifetime,
                         core::time_point now);

/// Errors: not_found when the lease has expired.
status renew_lease(store& s, std::string const& lease, core::time_point now);

/// Ends leases whose time has come, and removes their keys.
void expire_leases(store& s, core::time_point now);

} // namespace hawthornspur::tools

#endif
