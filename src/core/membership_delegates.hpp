#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_DELEGATES_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_DELEGATES_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// The delegates of all other zones: the first hosts of each zone in rendezvous
/// order that are neither suspected nor dead, leaving hosts last.
std::vector<std::string> delegates_of_other_zones(membership const& members);

} // namespace hawthornspur::core

#endif
