#ifndef HAWTHORNSPUR_SERVE_PLATFORM_ADAPTER_HPP
#define HAWTHORNSPUR_SERVE_PLATFORM_ADAPTER_HPP

#include "net/http_client.hpp"
#include "platform/platform_calls.hpp"
#include "platform/store_layout.hpp"
#include "serve/caller_interface.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hawthornspur::serve
{

/// Limits that a deployment imposes. Those that it does not state come from the
/// settings and the configuration document.
struct deployment_bounds
{
    /// From the stop signal until the platform ends the process.
    std::optional<core::duration> m_stop_grace;
    /// Longest time for which callers may use an address answer.
    std::optional<core::duration> m_address_lifetime;
    /// Retries of a service over all hosts: a number per request, and a number
    /// that is allowed in addition.
    std::optional<double> m_retry_ratio;
    std::optional<double> m_retry_burst;
    /// The span of time in which these are counted, above zero.
    std::optional<core::duration> m_retry_window;
    /// Probes of one target per second, over all hosts.
    std::optional<double> m_probes_per_second;
    /// Time after which a request with a withdrawn access key must not run;
    /// empty if the deployment does not enforce it.
    std::optional<core::duration> m_revocation_bound;
    /// Span in which the quotas of customers are counted, above zero, and what
    /// a customer may exceed them by: a share, and a number of requests.
    std::optional<core::duration> m_quota_window;
    double m_quota_overage = 0;
    double m_quota_slack = 0;
    /// What a cold target bears beyond its rate within one second: a factor,
    /// at least 1, and a number of requests.
    double m_cold_overage = 1;
    double m_cold_slack = 0;
};

/// Everything that differs between platforms. Without a store layout, a host
/// reads its configuration in the project's own store format and finds other
/// hosts in the platform's list.
struct platform_adapter
{
    /// Creates the calls to the platform. The client must outlive them.
    std::function<platform::platform_calls(net::http_client&, net::endpoint)>
        m_make_calls;
    std::optional<platform::store_layout> m_store_layout;
    std::function<deployment_bounds(std::map<std::string, double> const&)>
        m_read_bounds;
    caller_interface m_caller_interface;
};

/// Adapter for the platform that the project's own tools emulate.
platform_adapter make_default_platform_adapter();

} // namespace hawthornspur::serve

#endif
