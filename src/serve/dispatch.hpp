#ifndef HAWTHORNSPUR_SERVE_DISPATCH_HPP
#define HAWTHORNSPUR_SERVE_DISPATCH_HPP

#include "core/ids.hpp"

namespace hawthornspur::core
{
struct dispatch_effect;
}

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Sends an attempt of a call to the target that its pool chose.
void dispatch_attempt(entry_host& host, active_call& call,
                      core::dispatch_effect const& effect);

/// Closes an attempt in flight without reporting its end to the pool.
void cancel_attempt(entry_host& host, active_call& call,
                    core::attempt_number attempt);

} // namespace hawthornspur::serve

#endif
