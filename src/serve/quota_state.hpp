#ifndef HAWTHORNSPUR_SERVE_QUOTA_STATE_HPP
#define HAWTHORNSPUR_SERVE_QUOTA_STATE_HPP

#include "core/customers.hpp"
#include "core/ids.hpp"
#include "core/name_map.hpp"
#include "core/quota_allowance.hpp"
#include "core/quota_home.hpp"
#include "core/quota_ledger.hpp"
#include "core/time.hpp"
#include "net/event_loop.hpp"
#include "serve/quota_usage.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornspur::serve
{

/// A call that waits for a token.
struct quota_waiter
{
    core::request_id m_id;
    core::time_point m_expires_at;
};

/// A customer with a limit whose requests enter pools of this host.
struct limited_customer
{
    core::quota_allowance m_allowance;
    std::deque<quota_waiter> m_waiting;
    quota_usage m_usage;
};

/// A message with questions that is not answered yet.
struct sent_quota_request
{
    std::string m_home;
    core::time_point m_asked_at;
};

/// The quotas at one host: as the home of customers, and as a host that admits
/// their requests. Bounded by the customers of the document.
struct quota_state
{
    core::quota_ledger m_ledger;
    /// What m_ledger was set for.
    core::customer_table_ptr m_table;
    core::quota_margin m_margin;
    std::vector<std::string> m_homes;
    core::quota_contact m_contact;
    std::optional<core::time_point> m_lost_since;

    core::name_map<limited_customer> m_customers;
    /// Customers with tokens, reports or calls that wait.
    std::set<std::string, std::less<>> m_active;
    std::map<std::uint64_t, sent_quota_request> m_requests;
    std::uint64_t m_next_sequence = 1;
    /// When the timer last ran; homes are asked then.
    core::time_point m_checked_at;
    std::unique_ptr<net::timer> m_timer;
    std::optional<core::time_point> m_timer_due;
};

} // namespace hawthornspur::serve

#endif
