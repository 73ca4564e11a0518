#ifndef HAWTHORNSPUR_SERVE_ADMIT_HPP
#define HAWTHORNSPUR_SERVE_ADMIT_HPP

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Queues the request in a pool of this host, forwards it to the owner of its
/// pool, or refuses it. The call may have ended on return.
void admit_call(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
