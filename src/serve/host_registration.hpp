#ifndef HAWTHORNSPUR_SERVE_HOST_REGISTRATION_HPP
#define HAWTHORNSPUR_SERVE_HOST_REGISTRATION_HPP

#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Performs the next step of registering this host in the store and of reading
/// the entries of other hosts, and schedules the step after it. A stopping host
/// does nothing, so that its lease lapses.
void advance_registration(entry_host& host);

/// Key of this host's entry in the store.
std::string registration_key(entry_host const& host);

} // namespace hawthornspur::serve

#endif
