#ifndef HAWTHORNSPUR_SERVE_QUOTAS_HPP
#define HAWTHORNSPUR_SERVE_QUOTAS_HPP

#include "net/peer_messages.hpp"
#include "serve/quota_usage.hpp"

#include <string>
#include <vector>

namespace hawthornspur::serve
{

struct active_call;
struct entry_host;

/// Counts the request against the quota of its customer, once, at the host
/// whose pool it enters first. Returns false if the call was refused or is
/// held; if it was refused, the reference is invalid. A held call continues
/// with enqueue_call(), or is refused after 150 ms without an answer of the
/// home.
bool admit_to_quota(entry_host& host, active_call& call);

/// Returns the credit of a call that is refused without having run.
void return_quota(entry_host& host, active_call& call);

/// Follows a change of the document in force, of the hosts or of their owners.
void update_quotas(entry_host& host);

/// Drops the credit that this host keeps as home, after a time in which the
/// process did not run.
void reset_quotas_after_pause(entry_host& host);

/// Handle messages of other hosts.
void on_quota_request(entry_host& host, std::string const& from,
                      net::quota_request const& message);
void on_quota_grant(entry_host& host, std::string const& from,
                    net::quota_grant const& message);

/// A customer in the status of a host.
struct quota_report
{
    std::string m_customer;
    /// Limit over all hosts, in requests per second, and burst.
    double m_rate = 0;
    double m_burst = 0;
    /// Counts of this host.
    quota_counts m_last_minute;
};

/// The customers that this host refused most in the last minute because of
/// their quota, at most 20.
std::vector<quota_report> most_refused_customers(entry_host& host);

} // namespace hawthornspur::serve

#endif
