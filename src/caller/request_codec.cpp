#include "caller/request_codec.hpp"

#include "base/text.hpp"

#include <event2/http.h>

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <memory>

namespace hawthornspur::calling
{

namespace
{

std::string encode_uri(std::string const& text)
{
    std::unique_ptr<char, decltype(&std::free)> const encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
        &std::free);
    return encoded ? encoded.get() : std::string();
}

} // namespace

net::http_request make_address_request(std::string const& service,
                                       std::string const& zone)
{
    return {"GET",
            "/.well-known/hawthornspur/addresses?service=" +
                encode_uri(service) + "&zone=" + encode_uri(zone),
            {{"Host", service}},
            {}};
}

net::http_request make_attempt_request(call_request const& request,
                                       std::string const& key, int attempt,
                                       core::duration time_left)
{
    net::http_request attempt_request{request.m_method, request.m_uri,
                                      request.m_headers, request.m_body};
    auto const time_left_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
    auto const set = [&](char const* name, std::string value)
    {
        net::set_header(attempt_request.m_headers, name, std::move(value));
    };
    set("Host", request.m_service);
    set("Hawthornspur-Service", request.m_service);
    set("Hawthornspur-Deadline-Ms",
        std::to_string(std::max<std::int64_t>(1, time_left_ms.count())));
    net::remove_header(attempt_request.m_headers, "Hawthornspur-Key");
    if (!key.empty())
    {
        set("Hawthornspur-Key", key);
    }
    if (attempt > 1)
    {
        set("Hawthornspur-Attempt", std::to_string(attempt));
    }
    if (request.m_depth > 0)
    {
        set("Hawthornspur-Depth", std::to_string(request.m_depth));
    }
    return attempt_request;
}

std::optional<failed_attempt> read_refusal(net::http_headers const& headers)
{
    auto const code = net::find_header(headers, "Hawthornspur-Code");
    if (!code)
    {
        return std::nullopt;
    }
    failed_attempt refusal;
    refusal.m_code = static_cast<result_code>(
        parse_number<std::uint16_t>(*code).value_or(0));
    auto const outcome =
        net::find_header(headers, "Hawthornspur-Outcome").value_or("");
    if (outcome == to_string(execution::not_run))
    {
        refusal.m_execution = execution::not_run;
    }
    if (outcome == to_string(execution::ran))
    {
        refusal.m_execution = execution::ran;
    }
    return refusal;
}

failed_attempt to_failed_attempt(net::exchange_outcome outcome)
{
    using net::exchange_outcome;
    switch (outcome)
    {
    case exchange_outcome::connect_failed:
    case exchange_outcome::not_sent:
        return {result_code::address_unavailable, execution::not_run};
    case exchange_outcome::silent:
        return {result_code::target_silent, execution::unknown};
    case exchange_outcome::closed:
        return {result_code::target_closed, execution::unknown};
    case exchange_outcome::malformed:
        return {result_code::target_answer_malformed, execution::unknown};
    case exchange_outcome::truncated:
        return {result_code::answer_truncated, execution::unknown};
    case exchange_outcome::too_large:
        return {result_code::answer_too_large, execution::ran};
    case exchange_outcome::complete:
        break;
    }
    assert(false && "a complete answer is not a failure");
    return {};
}

} // namespace hawthornspur::calling
