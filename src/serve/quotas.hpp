#ifndef HAWTHORNSPUR_SERVE_QUOTAS_HPP
#define HAWTHORNSPUR_SERVE_QUOTAS_HPP

namespace hawthornspur::serve
{

struct active_call;
struct entry_host;

/// Counts the request against the quota of its customer, once, at the host
/// whose pool it enters first. Returns false if the call was refused or is
/// held; if it was refused, the reference is invalid.
bool admit_to_quota(entry_host& host, active_call& call);

/// Returns the credit of a call that is refused without having run.
void return_quota(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
