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

/// Maximum size of a stored value.
constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;

/// A version of a key; m_value is empty if the key was removed.
struct store_version
{
    core::time_point m_since{};
    std::uint64_t m_revision = 0;
    std::optional<std::string> m_value;
};

struct store_lease
{
    core::time_point m_expiry{};
    core::duration m_lifetime{0};
    core::time_point m_created{};
};

/// The platform's key-value store. Older versions of each key are retained to
/// emulate stale reads.
struct key_value_store
{
    std::map<std::string, std::deque<store_version>> m_keys;
    std::map<std::string, store_lease> m_leases;
    /// Maps each leased key to its lease, with which the key expires.
    std::map<std::string, std::string> m_leased_keys;
    std::uint64_t m_last_revision = 0;
    /// Increases with each restore.
    std::uint64_t m_epoch = 1;
    std::uint64_t m_last_lease = 0;
};

/// Returns the version of a key as of `now - staleness`, or null if the key did
/// not exist. The pointer is valid until the next write.
store_version const*
find_version(key_value_store const& store, std::string const& key,
             core::time_point now,
             core::duration staleness = core::duration::zero());

/// The revision that a write replaces, where 0 means that the key does not
/// exist, and the epoch in which it was read; 0 is not compared.
struct write_condition
{
    std::uint64_t m_revision = 0;
    std::uint64_t m_epoch = 0;
};

/// Writes the value if the condition holds, and returns the new revision. An
/// empty `lease` means none. Errors: version_conflict, document_too_large,
/// not_found if the lease does not exist.
result<std::uint64_t>
compare_and_swap(key_value_store& store, std::string const& key,
                 std::string value, write_condition const& condition,
                 std::string const& lease, core::time_point now);

/// Returns the name of the new lease.
std::string create_lease(key_value_store& store, core::duration lifetime,
                         core::time_point now);

/// Extends the lease by its lifetime from `now`. Errors: not_found if the lease
/// does not exist or has expired.
status renew_lease(key_value_store& store, std::string const& lease,
                   core::time_point now);

/// Returns to the state of `age` ago: later writes and leases are lost, and
/// their revisions and names are given out again. The age is at most that of
/// the oldest version that is retained.
void restore(key_value_store& store, core::duration age, core::time_point now);

/// Removes expired leases and their keys.
void expire_leases(key_value_store& store, core::time_point now);

} // namespace hawthornspur::tools

#endif
