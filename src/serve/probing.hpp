#ifndef HAWTHORNSPUR_SERVE_PROBING_HPP
#define HAWTHORNSPUR_SERVE_PROBING_HPP

#include "core/ids.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Asks the health endpoint of a target and tells its pool the answer.
void send_probe(entry_host& host, core::pool_id const& pool_id,
                core::target_id target);

} // namespace hawthornspur::serve

#endif
