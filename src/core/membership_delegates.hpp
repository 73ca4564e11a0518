#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_DELEGATES_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_DELEGATES_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// The delegates of all other zones: of each, the first hosts in rendezvous
/// order that are live.
std::vector<std::string> other_delegates(membership const& m);

} // namespace hawthornspur::core

#endif
