#include "core/store_role.hpp"

#include "core/link_choice.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

/// Nearly all hosts know the leaders of their zone after this time, since each
/// message to a new host names them. Callers wait for it at a start.
constexpr duration contact_settling_time = std::chrono::milliseconds(100);

/// Seeds start within 300 ms of the other hosts and answer the next ping.
constexpr duration max_contact_wait = std::chrono::milliseconds(500);

/// Covers the detection of lost watchers and new links to their successors.
constexpr duration max_time_without_watcher = std::chrono::seconds(1);

constexpr std::size_t reserve_hosts = 3;

} // namespace

bool has_settled_contact(store_role_inputs const& inputs) noexcept
{
    return inputs.m_since_contact &&
           *inputs.m_since_contact >= contact_settling_time;
}

bool is_store_role_settled(store_role_inputs const& inputs) noexcept
{
    return inputs.m_since_contact ? has_settled_contact(inputs) &&
                                        inputs.m_without_watcher == duration(0)
                                  : inputs.m_since_start >= max_contact_wait;
}

store_role choose_store_role(host_record const& self,
                             std::span<host_record const> others,
                             int max_owners, store_role_inputs const& inputs)
{
    if (max_owners <= 0)
    {
        return store_role::watcher;
    }
    if (!inputs.m_since_contact)
    {
        return inputs.m_is_seed || inputs.m_since_start >= max_contact_wait
                   ? store_role::watcher
                   : store_role::standby;
    }
    if (!has_settled_contact(inputs))
    {
        return inputs.m_is_seed ? store_role::watcher : store_role::standby;
    }
    if (inputs.m_without_watcher >= max_time_without_watcher)
    {
        return store_role::watcher;
    }
    auto const order = zone_order(self, others);
    auto const position = static_cast<std::size_t>(
        std::find(order.begin(), order.end(), self.m_name) - order.begin());
    auto const watchers = watcher_count(max_owners);
    if (position < watchers)
    {
        return store_role::watcher;
    }
    return position < watchers + reserve_hosts ? store_role::reserve
                                               : store_role::standby;
}

} // namespace hawthornspur::core
