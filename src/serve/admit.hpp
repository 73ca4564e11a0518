#ifndef HAWTHORNSPUR_SERVE_ADMIT_HPP
#define HAWTHORNSPUR_SERVE_ADMIT_HPP

namespace hawthornspur::serve
{

struct entry_host;
struct call;

/// Decides where the request runs: in a pool of this host, at the pool's
/// owner, or nowhere. The call may have ended on return.
void admit_call(entry_host& h, call& c);

} // namespace hawthornspur::serve

#endif
