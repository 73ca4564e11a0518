#ifndef HAWTHORNSPUR_SERVE_CALLER_SERVER_HPP
#define HAWTHORNSPUR_SERVE_CALLER_SERVER_HPP

#include "base/result.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Opens the server for callers. It answers address requests and passes other
/// requests to the pipeline.
status open_caller_server(entry_host& host);

} // namespace hawthornspur::serve

#endif
