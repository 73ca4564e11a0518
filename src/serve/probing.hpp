#ifndef HAWTHORNSPUR_SERVE_PROBING_HPP
#define HAWTHORNSPUR_SERVE_PROBING_HPP

#include "core/ids.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Sends a probe to the health endpoint of a target and reports the result to
/// the pool.
void send_probe(entry_host& host, core::pool_id const& pool_id,
                core::target_id target);

} // namespace hawthornspur::serve

#endif
