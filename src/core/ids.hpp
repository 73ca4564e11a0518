#ifndef HAWTHORNSPUR_CORE_IDS_HPP
#define HAWTHORNSPUR_CORE_IDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hawthornspur::core
{

/// A strongly typed identifier: identifiers with different tags do not convert
/// to each other.
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
struct content_tag;
struct customer_tag;
} // namespace detail

/// Identifies a request within one host process, whether it came from a caller
/// or was forwarded by a peer.
using request_id = identifier<detail::request_tag, std::uint64_t>;

/// Identifies a target within one host process; never reused for another
/// target.
using target_id = identifier<detail::target_tag, std::uint32_t>;

/// Index of a kind within the configuration of its service.
using kind_id = identifier<detail::kind_tag, std::uint32_t>;

/// Identifies requests with the same content, at whichever host they arrive:
/// method, path, body and caller.
using content_id = identifier<detail::content_tag, std::uint64_t>;

/// Identifies a customer within one host process; never reused for another
/// customer.
using customer_id = identifier<detail::customer_tag, std::uint32_t>;

/// Number of an attempt among those of one request at one pool owner, from 1.
using attempt_number = std::uint32_t;

/// Identifies a pool: the targets of one service in one zone.
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
