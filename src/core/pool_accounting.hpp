#ifndef HAWTHORNSPUR_CORE_POOL_ACCOUNTING_HPP
#define HAWTHORNSPUR_CORE_POOL_ACCOUNTING_HPP

#include "core/pool_state.hpp"

#include <optional>

namespace hawthornspur::core
{

/// Takes in the load that a target reports.
void note_load(target_entry& target, std::optional<reported_load> const& load,
               time_point now);

/// Lets the target's limit, ejection and held slots and the kind's times follow
/// the end of an attempt.
void account(pool& p, target_entry& target, kind_entry& kind,
             attempt_end const& end, attempt_entry const& attempt,
             time_point now);

} // namespace hawthornspur::core

#endif
