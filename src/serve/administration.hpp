#ifndef HAWTHORNSPUR_SERVE_ADMINISTRATION_HPP
#define HAWTHORNSPUR_SERVE_ADMINISTRATION_HPP

#include "base/result.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Opens the administration server: GET /status (JSON), GET /metrics
/// (Prometheus text), POST /drain (starts the planned stop).
status open_administration(entry_host& host);

} // namespace hawthornspur::serve

#endif
