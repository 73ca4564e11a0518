#ifndef HAWTHORNSPUR_SERVE_CALLER_SERVER_HPP
#define HAWTHORNSPUR_SERVE_CALLER_SERVER_HPP

#include "base/result.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Opens the server for callers. It answers address requests and passes other
/// requests to the pipeline.
status open_caller_server(entry_host& host);

/// Takes the lower one of the limits of the settings and of the operating
/// system.
void update_descriptor_limit(entry_host& host);

/// Adapts the number of caller connections to the descriptors that targets and
/// other hosts leave.
void limit_caller_connections(entry_host& host);

} // namespace hawthornspur::serve

#endif
