#include "core/configuration.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

template <class T>
T const* find_by_name(std::vector<T> const& list,
                      std::string const& name) noexcept
{
    auto const found =
        std::find_if(list.begin(), list.end(),
                     [&](T const& entry) { return entry.m_name == name; });
    return found == list.end() ? nullptr : &*found;
}

} // namespace

service_config const* find_service(configuration const& document,
                                   std::string const& name) noexcept
{
    return find_by_name(document.m_services, name);
}

zone_config const* find_zone(configuration const& document,
                             std::string const& name) noexcept
{
    return find_by_name(document.m_zones, name);
}

} // namespace hawthornspur::core
