#include "serve/target_signals.hpp"

#include "base/text.hpp"
#include "serve/accept.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <system_error>

namespace hawthornspur::serve
{

namespace
{

bool is_set(net::http_response_head const& head, std::string_view name)
{
    return net::find_header(head.m_headers, name) == std::string_view("1");
}

} // namespace

bool is_not_run(net::http_response_head const& head,
                core::kind_config const& kind)
{
    auto const& statuses = kind.m_not_run_statuses;
    constexpr int unavailable = 503;
    return std::find(statuses.begin(), statuses.end(), head.m_status) !=
               statuses.end() ||
           (head.m_status == unavailable && is_set(head, headers::not_run));
}

bool is_draining(net::http_response_head const& head)
{
    return is_set(head, headers::draining);
}

std::optional<core::reported_load>
read_load(net::http_response_head const& head)
{
    auto const text = net::find_header(head.m_headers, headers::load);
    if (!text)
    {
        return std::nullopt;
    }
    auto const slash = text->find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const in_flight = parse_number<int>(text->substr(0, slash));
    auto const slots = parse_number<int>(text->substr(slash + 1));
    if (!in_flight || !slots || *in_flight < 0 || *slots <= 0)
    {
        return std::nullopt;
    }
    core::reported_load load;
    load.m_in_flight = *in_flight;
    load.m_slots = *slots;
    return load;
}

namespace
{

/// Reads a finite number of at least 0.
std::optional<double> read_number(net::http_headers const& headers,
                                  std::string_view name)
{
    auto const header = net::find_header(headers, name);
    auto const text = header ? trim(*header) : std::string_view();
    auto const* const end = text.data() + text.size();
    double number = 0;
    auto const [stop, problem] = std::from_chars(text.data(), end, number);
    bool const is_valid = problem == std::errc{} && stop == end &&
                          std::isfinite(number) && number >= 0;
    return is_valid ? std::optional(number) : std::nullopt;
}

} // namespace

std::optional<double> read_rate_limit(net::http_headers const& headers,
                                      std::string_view name)
{
    return read_number(headers, name);
}

std::optional<core::duration> read_cold_time(net::http_headers const& headers,
                                             std::string_view name)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    constexpr milliseconds longest = std::chrono::hours(24);
    auto const number = read_number(headers, name);
    if (!number || milliseconds(*number) > longest)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<core::duration>(milliseconds(*number));
}

} // namespace hawthornspur::serve
