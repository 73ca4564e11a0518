#include "base/text.hpp"
#include "caller/exchange_text.hpp"
#include "load_generator/sender.hpp"
#include "net/event_loop.hpp"

#include <random>
#include <string_view>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

constexpr int service_unavailable = 503;

struct direct_state
{
    std::unique_ptr<net::http_client> m_client;
    std::vector<net::endpoint> m_targets;
    std::vector<std::uint64_t> m_in_flight;
    direct_policy m_policy = direct_policy::random;
    std::mt19937_64 m_random;
    std::uint64_t m_calls = 0;
};

std::size_t choose(direct_state& s)
{
    std::uniform_int_distribution<std::size_t> any(0, s.m_targets.size() - 1);
    auto const first = any(s.m_random);
    if (s.m_policy == direct_policy::random)
    {
        return first;
    }
    auto const second = any(s.m_random);
    return s.m_in_flight[second] < s.m_in_flight[first] ? second : first;
}

void end_call(call_result& r, net::exchange_outcome outcome)
{
    if (outcome != net::exchange_outcome::complete)
    {
        auto const failed = calling::failure_of(outcome);
        r.m_code = failed.m_code;
        r.m_execution = failed.m_execution;
        return;
    }
    // An entry host that is called like a target refuses in its own way.
    if (auto const refusal = calling::read_refusal(r.m_headers))
    {
        r.m_code = refusal->m_code;
        r.m_execution = refusal->m_execution;
        return;
    }
    auto const not_run = net::find_header(r.m_headers, "Hawthornspur-Not-Run");
    bool const shed = r.m_status == service_unavailable && not_run == "1";
    r.m_code = shed ? result_code::target_shed : result_code::ok;
    r.m_execution = shed ? execution::not_run : execution::ran;
}

void call(std::shared_ptr<direct_state> const& s, call_request const& request,
          call_handler handler)
{
    auto const chosen = choose(*s);
    ++s->m_in_flight[chosen];
    ++s->m_calls;
    auto const r = std::make_shared<call_result>();
    r->m_attempts = 1;
    r->m_entry_host = s->m_targets[chosen].m_address;
    net::exchange_options options;
    options.m_timeout = request.m_deadline;
    s->m_client->send(
        s->m_targets[chosen],
        calling::make_attempt(request, {}, 1, request.m_deadline), options,
        {.m_on_head =
             [r](net::http_response_head head, auto)
         {
             r->m_status = head.m_status;
             r->m_headers = std::move(head.m_headers);
         },
         .m_on_data = [r](std::string_view data) { r->m_body += data; },
         .m_on_end =
             [s, chosen, r,
              handler = std::move(handler)](net::exchange_outcome outcome)
         {
             --s->m_in_flight[chosen];
             end_call(*r, outcome);
             handler(std::move(*r));
         }});
}

} // namespace

result<sender> make_direct_sender(net::event_loop& loop,
                                  std::vector<net::endpoint> targets,
                                  direct_policy policy, std::uint64_t seed)
{
    auto const s = std::make_shared<direct_state>();
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    s->m_client = take(std::move(client));
    s->m_in_flight.resize(targets.size());
    s->m_targets = std::move(targets);
    s->m_policy = policy;
    s->m_random.seed(seed);
    return sender{
        .m_call = [s](call_request const& request, call_handler handler)
        { call(s, request, std::move(handler)); },
        .m_counters =
            [s]
        {
            return std::map<std::string, std::uint64_t>{{"calls", s->m_calls}};
        }};
}

result<std::vector<net::endpoint>> parse_endpoints(std::string const& text)
{
    std::vector<net::endpoint> endpoints;
    std::string_view rest = text;
    while (!rest.empty())
    {
        auto const comma = std::min(rest.find(','), rest.size());
        auto const item = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        auto const colon = item.rfind(':');
        auto const port =
            colon == std::string_view::npos
                ? std::nullopt
                : parse_number<std::uint16_t>(item.substr(colon + 1));
        if (!port)
        {
            return make_error(result_code::usage,
                              "not address:port: " + std::string(item));
        }
        endpoints.push_back({std::string(item.substr(0, colon)), *port});
    }
    return endpoints;
}

} // namespace hawthornspur::tools
