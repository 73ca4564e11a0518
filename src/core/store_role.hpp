#ifndef HAWTHORNSPUR_CORE_STORE_ROLE_HPP
#define HAWTHORNSPUR_CORE_STORE_ROLE_HPP

#include "core/membership.hpp"
#include "core/time.hpp"

#include <optional>
#include <span>

namespace hawthornspur::core
{

/// What a host reads from the platform's store.
enum class store_role
{
    /// Nothing: other hosts send it the document and take its requests.
    standby,
    /// A copy that may be stale, from time to time. The host takes over if all
    /// watchers of its zone are lost while the store is down.
    reserve,
    /// Everything, with watches. The host is registered in the store.
    watcher,
};

struct store_role_inputs
{
    /// Time since the start of the process.
    duration m_since_start{0};
    /// Time since this host heard of another host; nothing while it knows none.
    std::optional<duration> m_since_contact;
    /// Time for which this host has had no link to a watcher of its zone; zero
    /// with a link.
    duration m_without_watcher{0};
    /// The other hosts contact this one at their start, or no such hosts exist.
    bool m_is_seed = true;
};

/// Decides what a host reads from the store.
///
/// Load pattern: hundreds of hosts start at the same time. If each of them
/// reads the store, registers there and watches it, the calls cost more than
/// the service earns, and each change wakes all hosts. A host therefore waits
/// until it knows the leaders of its zone; only hosts that find nobody, or that
/// lose their watchers, turn to the store.
store_role choose_store_role(host_record const& self,
                             std::span<host_record const> others,
                             int max_owners, store_role_inputs const& inputs);

/// Whether this host has known others for long enough to know the leaders of
/// its zone.
bool has_settled_contact(store_role_inputs const& inputs) noexcept;

/// Whether the result can change by the passage of time alone.
bool is_store_role_settled(store_role_inputs const& inputs) noexcept;

} // namespace hawthornspur::core

#endif
