#ifndef HAWTHORNSPUR_CORE_POOL_ACCOUNTING_HPP
#define HAWTHORNSPUR_CORE_POOL_ACCOUNTING_HPP

#include "core/pool_state.hpp"

#include <optional>

namespace hawthornspur::core
{

/// Records the load that a target reports, if any.
void record_load(target_entry& target, std::optional<reported_load> const& load,
                 time_point now);

/// Updates the target's limit, ejection state and held slots and the service
/// times of the kind and the pool with the end of an attempt.
void record_attempt_end(pool& pool, target_entry& target, kind_entry& kind,
                        attempt_end const& end, attempt_entry const& attempt,
                        time_point now);

} // namespace hawthornspur::core

#endif
