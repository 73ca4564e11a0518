#ifndef HAWTHORNSPUR_CORE_NAME_MAP_HPP
#define HAWTHORNSPUR_CORE_NAME_MAP_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornspur::core
{

namespace detail
{

struct name_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const noexcept
    {
        return std::hash<std::string_view>{}(name);
    }
};

} // namespace detail

/// A map by name that is searched without a copy of the name. References to its
/// elements stay valid.
template <class Value>
using name_map =
    std::unordered_map<std::string, Value, detail::name_hash, std::equal_to<>>;

} // namespace hawthornspur::core

#endif
