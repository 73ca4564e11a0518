#include "cli/platform_session.hpp"

#include "base/text.hpp"
#include "platform/http_platform.hpp"

#include <absl/flags/flag.h>

#include <random>
#include <utility>

ABSL_FLAG(std::string, platform, "127.0.0.1:8500",
          "Address and port of the platform.");
ABSL_FLAG(double, platform_calls_per_second, 50.0,
          "Maximum number of calls to the platform per second.");

namespace hawthornspur::cli
{

std::vector<std::string> platform_flags()
{
    return {"platform", "platform_calls_per_second"};
}

result<net::endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    auto const port = colon == std::string_view::npos
                          ? std::nullopt
                          : parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0 || colon == 0)
    {
        return make_error(result_code::usage, "found \"" + std::string(text) +
                                                  "\"; allowed: ADDRESS:PORT");
    }
    auto address = text.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']'))
    {
        address = address.substr(1, address.size() - 2);
    }
    return net::endpoint{std::string(address), *port};
}

result<std::unique_ptr<platform_session>> open_session()
{
    constexpr double lowest_rate = 0.1;
    constexpr double highest_rate = 1000;
    auto const server = parse_endpoint(absl::GetFlag(FLAGS_platform));
    if (!has_value(server))
    {
        return make_error(result_code::usage,
                          "--platform: " + failure(server).m_message);
    }
    auto const rate = absl::GetFlag(FLAGS_platform_calls_per_second);
    if (!(rate >= lowest_rate && rate <= highest_rate))
    {
        return make_error(result_code::usage,
                          "--platform_calls_per_second: allowed: 0.1 to 1000");
    }
    auto session = std::make_unique<platform_session>();
    auto loop = net::event_loop::create();
    if (!has_value(loop))
    {
        return failure(loop);
    }
    session->m_loop = take(std::move(loop));
    auto client = net::http_client::create(*session->m_loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    session->m_client = take(std::move(client));
    session->m_scheduler = platform::make_loop_scheduler(*session->m_loop);
    platform::call_limiter_settings limits;
    limits.m_calls_per_second = rate;
    limits.m_burst = rate;
    session->m_limiter = platform::call_limiter::create(
        platform::make_http_platform(*session->m_client, {value(server)}),
        session->m_scheduler, limits, std::random_device()());
    session->m_calls = session->m_limiter->calls();
    session->m_store =
        platform::configuration_store::create(session->m_calls, {});
    return session;
}

std::string make_change_id()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 16;
    std::random_device random;
    std::uniform_int_distribution<std::size_t> digit(0, digits.size() - 1);
    std::string id;
    for (int i = 0; i < length; ++i)
    {
        id += digits[digit(random)];
    }
    return id;
}

} // namespace hawthornspur::cli
