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
    /// From the start of a call to the end of its answer. The store answers
    /// within milliseconds when it is well; a call that takes longer than this
    /// is taken for lost. A watch gets its wait on top.
    core::duration m_timeout = std::chrono::seconds(2);
};

/// The platform over HTTP with JSON (docs/design.md, section 4). The
/// client outlives the calls. A call of this struct answers later from the
/// loop, never from within the call.
platform_calls make_http_platform(net::http_client& client,
                                  http_platform_settings settings);

} // namespace hawthornspur::platform

#endif
