#include "base/text.hpp"
#include "caller/request_codec.hpp"
#include "load_generator/sender.hpp"
#include "net/event_loop.hpp"

#include <random>
#include <string_view>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

constexpr int status_service_unavailable = 503;

struct direct_state
{
    std::unique_ptr<net::http_client> m_client;
    std::vector<net::endpoint> m_targets;
    std::vector<std::uint64_t> m_in_flight;
    direct_policy m_policy = direct_policy::random;
    std::mt19937_64 m_random;
    std::uint64_t m_calls = 0;
};

std::size_t choose_target(direct_state& state)
{
    std::uniform_int_distribution<std::size_t> draw_index(
        0, state.m_targets.size() - 1);
    auto const first = draw_index(state.m_random);
    if (state.m_policy == direct_policy::random)
    {
        return first;
    }
    auto const second = draw_index(state.m_random);
    return state.m_in_flight[second] < state.m_in_flight[first] ? second
                                                                : first;
}

void set_result(call_result& result, net::exchange_outcome outcome)
{
    if (outcome != net::exchange_outcome::complete)
    {
        auto const failed = calling::to_failed_attempt(outcome);
        result.m_code = failed.m_code;
        result.m_execution = failed.m_execution;
        return;
    }
    // --direct can also name entry hosts, which report refusals in headers of
    // their own.
    if (auto const refusal = calling::read_refusal(result.m_headers))
    {
        result.m_code = refusal->m_code;
        result.m_execution = refusal->m_execution;
        return;
    }
    auto const not_run =
        net::find_header(result.m_headers, "Hawthornspur-Not-Run");
    bool const shed =
        result.m_status == status_service_unavailable && not_run == "1";
    result.m_code = shed ? result_code::target_shed : result_code::ok;
    result.m_execution = shed ? execution::not_run : execution::ran;
}

void send_call(std::shared_ptr<direct_state> const& state,
               call_request const& request, call_handler handler)
{
    auto const chosen = choose_target(*state);
    ++state->m_in_flight[chosen];
    ++state->m_calls;
    auto const result = std::make_shared<call_result>();
    result->m_attempts = 1;
    result->m_entry_host = state->m_targets[chosen].m_address;
    net::exchange_options options;
    options.m_timeout = request.m_deadline;
    state->m_client->send(
        state->m_targets[chosen],
        calling::make_attempt_request(request, {}, 1, request.m_deadline),
        options,
        {.m_on_head =
             [result](net::http_response_head head, auto)
         {
             result->m_status = head.m_status;
             result->m_headers = std::move(head.m_headers);
         },
         .m_on_data = [result](std::string_view data)
         { result->m_body += data; },
         .m_on_end =
             [state, chosen, result,
              handler = std::move(handler)](net::exchange_outcome outcome)
         {
             --state->m_in_flight[chosen];
             set_result(*result, outcome);
             handler(std::move(*result));
         }});
}

} // namespace

result<sender> make_direct_sender(net::event_loop& loop,
                                  std::vector<net::endpoint> targets,
                                  direct_policy policy, std::uint64_t seed)
{
    auto const state = std::make_shared<direct_state>();
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    state->m_client = take(std::move(client));
    state->m_in_flight.resize(targets.size());
    state->m_targets = std::move(targets);
    state->m_policy = policy;
    state->m_random.seed(seed);
    return sender{
        .m_call = [state](call_request const& request, call_handler handler)
        { send_call(state, request, std::move(handler)); },
        .m_counters =
            [state]
        {
            return std::map<std::string, std::uint64_t>{
                {"calls", state->m_calls}};
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
                              "not in the form address:port: " +
                                  std::string(item));
        }
        endpoints.push_back({std::string(item.substr(0, colon)), *port});
    }
    return endpoints;
}

} // namespace hawthornspur::tools
