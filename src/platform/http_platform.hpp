#ifndef HAWTHORNSPUR_PLATFORM_HTTP_PLATFORM_HPP
#define HAWTHORNSPUR_PLATFORM_HTTP_PLATFORM_HPP

#include "core/time.hpp"
#include "net/http_client.hpp"
#include "platform/platform_calls.hpp"

namespace hawthornspur::platform
{

struct http_platform_settings
{
    net::endpoint m_server;
    /// Time limit from the start of a call to the end of its answer. A healthy
    /// store answers within milliseconds. The limit of a watch is longer by its
    /// wait.
    core::duration m_timeout = std::chrono::seconds(2);
};

/// The platform over HTTP with JSON (docs/design.md, section 4). The client
/// must outlive the calls. Answers are delivered from the event loop, never
/// from within a call.
platform_calls make_http_platform(net::http_client& client,
                                  http_platform_settings settings);

} // namespace hawthornspur::platform

#endif
