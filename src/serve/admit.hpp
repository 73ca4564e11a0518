#ifndef HAWTHORNSPUR_SERVE_ADMIT_HPP
#define HAWTHORNSPUR_SERVE_ADMIT_HPP

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Decides where the request runs: in a pool of this host, at the pool's
/// owner, or nowhere. The call may have ended on return.
void admit_call(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
