#include "platform/http_platform.hpp"
#include "serve/platform_adapter.hpp"

#include <utility>

namespace hawthornspur::serve
{

platform_adapter make_default_platform_adapter()
{
    platform_adapter adapter;
    adapter.m_make_calls = [](net::http_client& client, net::endpoint server)
    {
        return platform::make_http_platform(client, {std::move(server)});
    };
    adapter.m_read_bounds = [](std::map<std::string, double> const&)
    {
        return deployment_bounds{};
    };
    adapter.m_caller_interface = make_default_caller_interface();
    return adapter;
}

} // namespace hawthornspur::serve
