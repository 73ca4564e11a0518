#ifndef HAWTHORNSPUR_CORE_OWNERSHIP_HPP
#define HAWTHORNSPUR_CORE_OWNERSHIP_HPP

#include "core/ids.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

struct configuration;

/// A host as far as the choice of owners is concerned.
struct owner_candidate
{
    std::string m_name;
    std::string m_zone;
};

/// Rendezvous weight of a host for a key; the highest weight comes first.
std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view host) noexcept;

/// Zones in the order in which `zone` falls back to them: itself, then by
/// one-way delay, ties by name.
std::vector<std::string> nearest_zones(configuration const& document,
                                       std::string const& zone);

/// All candidates in the order in which they own the pool: the hosts of the
/// pool's zone by rendezvous weight, then those of the nearest zones. The
/// first one is the owner, the others are its successors.
std::vector<std::string> owner_order(pool_id const& pool,
                                     std::span<owner_candidate const> hosts,
                                     configuration const& document);

} // namespace hawthornspur::core

#endif
