#include "platform/http_platform.hpp"
#include "serve/platform_adapter.hpp"

#include <utility>

namespace hawthornspur::serve
{

platform_adapter make_own_platform()
{
    platform_adapter made;
    made.m_make_calls = [](net::http_client& client, net::endpoint server)
    {
        return platform::make_http_platform(client, {std::move(server)});
    };
    made.m_read_bounds = [](std::map<std::string, double> const&)
    {
        return deployment_bounds{};
    };
    made.m_interface = make_own_interface();
    return made;
}

} // namespace hawthornspur::serve
