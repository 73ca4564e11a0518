#ifndef HAWTHORNSPUR_CORE_IDS_HPP
#define HAWTHORNSPUR_CORE_IDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hawthornspur::core
{

/// An identifier that cannot be mixed up with another kind of identifier.
template <class Tag, class Rep>
struct identifier
{
    Rep m_value{};
    friend auto operator<=>(identifier const&, identifier const&) = default;
};

namespace detail
{
struct request_tag;
struct target_tag;
struct kind_tag;
} // namespace detail

/// Numbers the requests that one host process has accepted or was forwarded.
using request_id = identifier<detail::request_tag, std::uint64_t>;

/// Numbers the targets known to one host process; never reused for another
/// target while the process lives.
using target_id = identifier<detail::target_tag, std::uint32_t>;

/// Index of a kind within the configuration of its service.
using kind_id = identifier<detail::kind_tag, std::uint32_t>;

/// Counts the attempts of one request on one pool owner, from 1.
using attempt_number = std::uint32_t;

/// Names a pool: the targets of one service in one zone.
struct pool_id
{
    std::string m_service;
    std::string m_zone;
    friend auto operator<=>(pool_id const&, pool_id const&) = default;
};

} // namespace hawthornspur::core

template <class Tag, class Rep>
struct std::hash<hawthornspur::core::identifier<Tag, Rep>>
{
    std::size_t operator()(
        hawthornspur::core::identifier<Tag, Rep> const& id) const noexcept
    {
        return std::hash<Rep>{}(id.m_value);
    }
};

#endif
