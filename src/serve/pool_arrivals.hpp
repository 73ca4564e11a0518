#ifndef HAWTHORNSPUR_SERVE_POOL_ARRIVALS_HPP
#define HAWTHORNSPUR_SERVE_POOL_ARRIVALS_HPP

#include "core/pool.hpp"
#include <hawthornspur/result_code.hpp>

#include <optional>

namespace hawthornspur::serve
{

struct entry_host;
struct local_pool;
struct active_call;

/// Describes the call to its pool. The kind is looked up by name, since the
/// pool may have newer rules than those under which the call was classified.
/// The pool refuses a kind that it does not have.
core::arrival make_arrival(entry_host& host, local_pool const& pool,
                           active_call const& call);

/// Delay after which the caller of a call refused with this code may retry, by
/// the state of its pool on this host. Promises the return of a call that names
/// a customer and has not run. Empty without such a pool or kind.
std::optional<core::duration> retry_delay_in_pool(entry_host& host,
                                                  active_call const& call,
                                                  result_code code);

} // namespace hawthornspur::serve

#endif
