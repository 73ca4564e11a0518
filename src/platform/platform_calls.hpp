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

/// A stored value and the revision that a compare-and-swap has to name.
struct stored_value
{
    std::string m_value;
    std::uint64_t m_revision = 0;
};

enum class listed_role : std::uint8_t
{
    entry,
    target,
};

/// A row of the platform's list of hosts, which lags behind reality.
struct listed_host
{
    std::string m_name;
    listed_role m_role = listed_role::target;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_port = 0;
    /// Port for other entry hosts; 0 for targets.
    std::uint16_t m_peer_port = 0;
    bool m_leaving = false;
    /// Processor time of an entry host, in thousandths of a core.
    int m_millicores = 1000;
};

/// An item of a range of keys.
struct stored_item
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
};

/// The items of a range. Pages are read one after the other, so items may
/// differ in age; watching from m_store_revision repeats what changed
/// meanwhile.
struct stored_range
{
    std::vector<stored_item> m_items;
    /// Revision of the store when the first page was read.
    std::uint64_t m_store_revision = 0;
};

/// What happened to an item of a watched range.
struct range_event
{
    std::string m_key;
    /// Nothing when the key was removed.
    std::optional<std::string> m_value;
    std::uint64_t m_revision = 0;
};

struct range_changes
{
    std::vector<range_event> m_events;
    /// Where the next watch continues.
    std::uint64_t m_store_revision = 0;
};

/// Whether a read may return values that are seconds old, which costs less.
enum class freshness : std::uint8_t
{
    latest,
    may_be_stale,
};

template <class T>
using callback = std::function<void(result<T>)>;

/// The platform's services as a struct of calls, so that tests and tools can
/// put fakes in their place. Each call answers exactly once from the loop.
/// Errors: not_found, version_conflict, store_unavailable (the call may have
/// taken effect), store_answer_malformed.
struct platform_calls
{
    std::function<void(std::string key, callback<stored_value>)> m_get;
    /// Writes if the key still has `revision`; 0 creates it. Answers with the
    /// new revision.
    std::function<void(std::string key, std::string value,
                       std::uint64_t revision, callback<std::uint64_t>)>
        m_compare_and_swap;
    /// Answers when the revision is above `after`, or with not_found after
    /// `wait`.
    std::function<void(std::string key, std::uint64_t after,
                       core::duration wait, callback<stored_value>)>
        m_watch;
    /// Answers with the lease's name.
    std::function<void(core::duration lifetime, callback<std::string>)>
        m_create_lease;
    std::function<void(std::string lease, callback<std::monostate>)>
        m_renew_lease;
    std::function<void(callback<std::vector<listed_host>>)> m_list_hosts;

    /// The calls below exist only where the platform's store has ranges and
    /// leased keys; elsewhere they are empty.
    std::function<void(std::string prefix, freshness, callback<stored_range>)>
        m_get_range;
    /// Answers when a key with the prefix changed after the revision, and
    /// without events after `wait`. Errors besides: history_lost when the
    /// store no longer has what happened since `after`.
    std::function<void(std::string prefix, std::uint64_t after,
                       core::duration wait, callback<range_changes>)>
        m_watch_range;
    /// Writes a key that disappears with the lease. Errors besides: not_found
    /// when the lease has lapsed.
    std::function<void(std::string key, std::string value, std::string lease,
                       callback<std::uint64_t>)>
        m_put_leased;
};

} // namespace hawthornspur::platform

#endif
