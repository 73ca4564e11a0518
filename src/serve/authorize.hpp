#ifndef HAWTHORNSPUR_SERVE_AUTHORIZE_HPP
#define HAWTHORNSPUR_SERVE_AUTHORIZE_HPP

namespace hawthornspur::serve
{

struct active_call;
struct entry_host;

/// Whether requests like this one need access keys, so that targets and other
/// hosts get the name of the customer instead.
bool has_customers(active_call const& call) noexcept;

/// Filter: finds the customer whose access key the request bears, at the host
/// that took the request from its caller. Returns false if the call was refused
/// or is held; if it was refused, the reference is invalid.
bool authorize_call(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
