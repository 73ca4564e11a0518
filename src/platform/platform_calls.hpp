#ifndef HAWTHORNSPUR_PLATFORM_PLATFORM_CALLS_HPP
#define HAWTHORNSPUR_PLATFORM_PLATFORM_CALLS_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::platform
{

/// Increases each time a store comes back from an earlier state, having lost
/// later changes. Revisions and leases are given out again then, so they are
/// comparable only within an epoch. The first epoch is 1; 0 if the store does
/// not tell it.
using store_epoch = std::uint64_t;

/// The state of a key that a compare-and-swap replaces.
struct key_version
{
    /// 0 if the key does not exist.
    std::uint64_t m_revision = 0;
    /// Epoch in which the revision was read. It is not compared if it is 0.
    store_epoch m_epoch = 0;

    friend bool operator==(key_version const&, key_version const&) = default;
};

struct stored_value
{
    std::string m_value;
    key_version m_version;
};

enum class listed_role : std::uint8_t
{
    entry,
    target,
};

/// An entry of the platform's host list, which may be out of date.
struct listed_host
{
    std::string m_name;
    listed_role m_role = listed_role::target;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_port = 0;
    /// Port for links from other entry hosts; 0 for targets.
    std::uint16_t m_peer_port = 0;
    bool m_leaving = false;
    /// CPU capacity of an entry host, in thousandths of a core.
    int m_millicores = 1000;
};

/// A key of a range with its value.
struct stored_item
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
};

/// The items of a range. Its pages are read one after the other, so items may
/// be from different revisions. A watch from m_store_revision repeats the
/// changes made in the meantime.
struct stored_range
{
    std::vector<stored_item> m_items;
    /// Revision of the store when the first page was read.
    std::uint64_t m_store_revision = 0;
    store_epoch m_epoch = 0;
};

/// A change of one key in a watched range.
struct range_event
{
    std::string m_key;
    /// Empty if the key was removed.
    std::optional<std::string> m_value;
    std::uint64_t m_revision = 0;
};

struct range_changes
{
    std::vector<range_event> m_events;
    /// Revision from which the next watch continues.
    std::uint64_t m_store_revision = 0;
    store_epoch m_epoch = 0;
};

/// Whether a read may return values that are seconds old, which is cheaper.
enum class freshness : std::uint8_t
{
    latest,
    may_be_stale,
};

template <class T>
using callback = std::function<void(result<T>)>;

/// Calls to the platform's services, which tests and tools replace by fakes.
/// Each call answers exactly once, from the event loop. Errors: not_found,
/// version_conflict, store_unavailable (the call may have taken effect),
/// store_answer_malformed.
struct platform_calls
{
    std::function<void(std::string key, callback<stored_value>)> m_get;
    /// Writes the value if the key still has the given version. Answers with
    /// the new revision.
    std::function<void(std::string key, std::string value, key_version replaced,
                       callback<std::uint64_t>)>
        m_compare_and_swap;
    /// Answers when the key's revision exceeds `after`, or with not_found after
    /// `wait`.
    std::function<void(std::string key, std::uint64_t after,
                       core::duration wait, callback<stored_value>)>
        m_watch;
    /// Answers with the name of the lease.
    std::function<void(core::duration lifetime, callback<std::string>)>
        m_create_lease;
    std::function<void(std::string lease, callback<std::monostate>)>
        m_renew_lease;
    std::function<void(callback<std::vector<listed_host>>)> m_list_hosts;

    /// The calls below are empty if the platform's store has no ranges and
    /// leased keys.
    std::function<void(std::string prefix, freshness, callback<stored_range>)>
        m_get_range;
    /// Answers when a key with the prefix changes after revision `after`, or
    /// without events after `wait`. Additional error: history_lost if the store
    /// no longer has the changes since `after`.
    std::function<void(std::string prefix, std::uint64_t after,
                       core::duration wait, callback<range_changes>)>
        m_watch_range;
    /// Writes a key that is removed when the lease expires. Answers not_found
    /// if the lease has expired.
    std::function<void(std::string key, std::string value, std::string lease,
                       callback<std::uint64_t>)>
        m_put_leased;
};

} // namespace hawthornspur::platform

#endif
