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

/// Bounds that a deployment states; what it does not state is left to the
/// settings and the document.
struct deployment_bounds
{
    /// From the signal to stop until the process is ended.
    std::optional<core::duration> m_stop_grace;
    /// The longest time for which callers keep an address answer.
    std::optional<core::duration> m_address_lifetime;
    /// Further attempts per request of a service, over all hosts, and those
    /// that need no request.
    std::optional<double> m_retry_ratio;
    std::optional<double> m_retry_burst;
    /// Probes of one target a second, over all hosts.
    std::optional<double> m_probes_per_second;
};

/// Everything in which one platform differs from another. A host without a
/// store layout takes its configuration from the project's own store format
/// and its hosts from the platform's list.
struct platform_adapter
{
    /// The calls of the platform; the client outlives them.
    std::function<platform::platform_calls(net::http_client&, net::endpoint)>
        m_make_calls;
    std::optional<platform::store_layout> m_store_layout;
    std::function<deployment_bounds(std::map<std::string, double> const&)>
        m_read_bounds;
    caller_interface m_caller_interface;
};

/// The platform that the project's own tools emulate.
platform_adapter make_default_platform_adapter();

} // namespace hawthornspur::serve

#endif
