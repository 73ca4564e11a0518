#ifndef HAWTHORNSPUR_SERVE_ACCOUNT_HPP
#define HAWTHORNSPUR_SERVE_ACCOUNT_HPP

#include <hawthornspur/result_code.hpp>

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Last filter: counts and logs the result and destroys the call, which
/// invalidates the reference.
void end_call(entry_host& host, active_call& call, result_code code);

} // namespace hawthornspur::serve

#endif
