#ifndef HAWTHORNSPUR_SERVE_STOP_HPP
#define HAWTHORNSPUR_SERVE_STOP_HPP

#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Starts the planned stop; a second call changes nothing and is logged. The
/// host leaves the address answers, hands over its pools, serves callers that
/// hold the old answer for its lifetime, finishes the calls in flight and
/// stops the loop, at the latest at the bound from the settings.
void begin_stop(entry_host& host, std::string const& reason);

/// Advances the stop; called regularly.
void advance_stop(entry_host& host);

} // namespace hawthornspur::serve

#endif
