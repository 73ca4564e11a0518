#ifndef HAWTHORNSPUR_SERVE_DIRECTORY_SERVER_HPP
#define HAWTHORNSPUR_SERVE_DIRECTORY_SERVER_HPP

#include "base/result.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Opens the listeners for address requests of callers and for readiness checks
/// of the platform, if the settings have them.
status open_directory_servers(entry_host& host);

} // namespace hawthornspur::serve

#endif
