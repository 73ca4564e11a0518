#include "caller/address_book.hpp"
#include "caller/request_codec.hpp"
#include "caller/retry_rules.hpp"
#include "core/retry_budget.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include <hawthornspur/caller.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace hawthornspur
{

namespace
{

using calling::failed_attempt;

using call_id = std::uint64_t;

/// The entry host's own refusal at the deadline has this long to arrive.
constexpr core::duration answer_grace = std::chrono::milliseconds(50);
constexpr core::duration address_timeout = std::chrono::milliseconds(500);
constexpr core::duration address_pause = std::chrono::milliseconds(100);
constexpr core::duration min_timeout = std::chrono::milliseconds(1);
/// A request that may run only once needs a connection that worked lately; a
/// silent one would leave its outcome unknown.
constexpr core::duration once_connection_age = std::chrono::seconds(1);

struct open_call
{
    call_request m_request;
    call_handler m_handler;
    core::time_point m_deadline{};
    std::set<std::string> m_tried;
    /// Some attempt ended without saying whether it ran.
    bool m_may_have_run = false;
    failed_attempt m_failure{result_code::address_unavailable,
                             execution::not_run};
    /// Filled as the attempt goes on.
    call_result m_result;
};

struct service_state
{
    calling::address_book m_book;
    core::retry_budget m_budget;
    std::vector<call_id> m_waiting;
    bool m_fetching = false;
    std::size_t m_next_source = 0;
    std::unique_ptr<net::timer> m_pause;
};

} // namespace

struct caller::state
{
    net::event_loop* m_loop = nullptr;
    caller_settings m_settings;
    std::unique_ptr<net::http_client> m_client;
    std::map<std::string, service_state> m_services;
    std::unordered_map<call_id, open_call> m_calls;
    call_id m_next = 1;
    caller_counters m_counters;
    /// Tells tasks posted to the loop that the caller is gone.
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

namespace
{

using state = caller::state;

void send_attempt(state& s, call_id id);

void finish(state& s, call_id id)
{
    auto const found = s.m_calls.find(id);
    auto ended = std::move(found->second);
    s.m_calls.erase(found);
    ended.m_handler(std::move(ended.m_result));
}

void fail(state& s, call_id id)
{
    auto& c = s.m_calls.at(id);
    c.m_result.m_code = c.m_failure.m_code;
    c.m_result.m_execution =
        calling::execution_of_call(c.m_failure, c.m_may_have_run);
    finish(s, id);
}

/// All sources of addresses: the entry hosts known now, then those of the
/// settings.
std::vector<net::endpoint> sources_of(state const& s,
                                      service_state const& service)
{
    std::vector<net::endpoint> sources;
    for (auto const& known : service.m_book.m_answer.m_addresses)
    {
        sources.push_back({known.m_address, known.m_port});
    }
    for (auto const& host : s.m_settings.m_entry_hosts)
    {
        sources.push_back({host.m_address, host.m_port});
    }
    return sources;
}

void fetch_addresses(state& s, std::string const& name);

void wake_waiting(state& s, service_state& service)
{
    for (auto const id : std::exchange(service.m_waiting, {}))
    {
        send_attempt(s, id);
    }
}

/// Ends the waiting calls whose deadline has passed; the shortest time that
/// another one has left.
core::duration expire_waiting(state& s, service_state& service)
{
    auto const now = net::event_loop::now();
    std::vector<call_id> expired;
    core::duration shortest = address_timeout;
    for (auto const id : service.m_waiting)
    {
        auto const left = s.m_calls.at(id).m_deadline - now;
        if (left <= core::duration::zero())
        {
            expired.push_back(id);
            continue;
        }
        shortest = std::min(shortest, left);
    }
    for (auto const id : expired)
    {
        std::erase(service.m_waiting, id);
        fail(s, id);
    }
    return std::max(shortest, min_timeout);
}

void on_address_failure(state& s, std::string const& name)
{
    auto& service = s.m_services.at(name);
    expire_waiting(s, service);
    ++service.m_next_source;
    if (service.m_next_source < sources_of(s, service).size())
    {
        fetch_addresses(s, name);
        return;
    }
    service.m_next_source = 0;
    // Calls with addresses go on with the old ones.
    if (service.m_waiting.empty())
    {
        return;
    }
    if (service.m_pause == nullptr)
    {
        auto made = net::timer::create(*s.m_loop, [&s, name]
                                       { fetch_addresses(s, name); });
        if (!has_value(made))
        {
            return;
        }
        service.m_pause = take(std::move(made));
    }
    service.m_pause->start(address_pause);
}

void on_addresses(state& s, std::string const& name, int status,
                  std::string const& body)
{
    auto& service = s.m_services.at(name);
    auto answer = status == 200
                      ? calling::parse_address_answer(body)
                      : result<calling::address_answer>(make_error(
                            result_code::not_found, "no address answer"));
    if (!has_value(answer))
    {
        on_address_failure(s, name);
        return;
    }
    service.m_next_source = 0;
    calling::update(service.m_book, take(std::move(answer)),
                    net::event_loop::now());
    wake_waiting(s, service);
}

void fetch_addresses(state& s, std::string const& name)
{
    auto& service = s.m_services.at(name);
    if (service.m_fetching)
    {
        return;
    }
    auto const sources = sources_of(s, service);
    service.m_next_source %= sources.size();
    service.m_fetching = true;
    ++s.m_counters.m_address_requests;
    struct received
    {
        int m_status = 0;
        std::string m_body;
    };
    auto const answer = std::make_shared<received>();
    net::exchange_options options;
    options.m_timeout = expire_waiting(s, service);
    s.m_client->send(
        sources[service.m_next_source],
        calling::make_address_request(name, s.m_settings.m_zone), options,
        {.m_on_head = [answer](net::http_response_head head, auto)
         { answer->m_status = head.m_status; },
         .m_on_data = [answer](std::string_view data)
         { answer->m_body += data; },
         .m_on_end =
             [&s, name, answer](net::exchange_outcome outcome)
         {
             s.m_services.at(name).m_fetching = false;
             bool const whole = outcome == net::exchange_outcome::complete;
             on_addresses(s, name, whole ? answer->m_status : 0,
                          answer->m_body);
         }});
}

/// Learns from the end of an attempt which hosts and sessions are usable.
void note_end(service_state& service, open_call const& c,
              net::exchange_outcome outcome)
{
    auto const now = net::event_loop::now();
    auto const& host = c.m_result.m_entry_host;
    switch (outcome)
    {
    case net::exchange_outcome::connect_failed:
        calling::note_unreachable(service.m_book, host, now);
        break;
    case net::exchange_outcome::silent:
        calling::note_silent(service.m_book, host, now);
        break;
    default:
        calling::note_answer(service.m_book, host);
        break;
    }
    auto const code = c.m_failure.m_code;
    if (code == result_code::host_leaving ||
        code == result_code::host_not_ready || code == result_code::host_paused)
    {
        calling::note_unreachable(service.m_book, host, now);
    }
    auto const& session = service.m_book.m_answer.m_session;
    if (calling::ends_session(code) &&
        (c.m_result.m_key.empty() || c.m_result.m_key.starts_with(session)))
    {
        calling::drop_session(service.m_book);
    }
}

void after_failure(state& s, call_id id)
{
    auto& c = s.m_calls.at(id);
    auto& service = s.m_services.at(c.m_request.m_service);
    auto const now = net::event_loop::now();
    calling::retry_conditions const conditions{
        .m_rule = c.m_request.m_rule,
        .m_has_key = !c.m_result.m_key.empty(),
        .m_send_copies = s.m_settings.m_send_copies,
        .m_may_have_run = c.m_may_have_run,
        .m_can_send =
            c.m_result.m_attempts < s.m_settings.m_max_attempts &&
            now < c.m_deadline &&
            calling::choose(service.m_book, c.m_tried, now) != nullptr};
    auto const step = calling::decide(c.m_failure, conditions);
    c.m_may_have_run =
        c.m_may_have_run || c.m_failure.m_execution == execution::unknown;
    if (step == calling::next_step::give_up)
    {
        fail(s, id);
        return;
    }
    if (!calling::concerns_entry_host(c.m_failure) &&
        !core::try_spend(service.m_budget))
    {
        ++s.m_counters.m_retries_without_budget;
        fail(s, id);
        return;
    }
    if (step == calling::next_step::send_copy)
    {
        ++s.m_counters.m_copies;
    }
    else
    {
        c.m_result.m_key.clear();
        ++(c.m_failure.m_execution == execution::not_run
               ? s.m_counters.m_retries_not_run
               : s.m_counters.m_retries_idempotent);
    }
    send_attempt(s, id);
}

void on_attempt_end(state& s, call_id id, net::exchange_outcome outcome)
{
    auto& c = s.m_calls.at(id);
    auto& service = s.m_services.at(c.m_request.m_service);
    auto const refusal = outcome == net::exchange_outcome::complete
                             ? calling::read_refusal(c.m_result.m_headers)
                             : calling::to_failed_attempt(outcome);
    c.m_failure = refusal.value_or(failed_attempt{});
    note_end(service, c, outcome);
    if (refusal)
    {
        after_failure(s, id);
        return;
    }
    core::earn(service.m_budget);
    c.m_result.m_code = result_code::ok;
    c.m_result.m_execution = execution::ran;
    finish(s, id);
}

core::duration timeout_of(open_call const& c, core::duration left)
{
    auto const limit = core::duration(c.m_request.m_attempt_limit);
    bool const is_limited = c.m_request.m_rule == call_rule::idempotent &&
                            limit > core::duration::zero() && limit < left;
    return is_limited ? limit : left + answer_grace;
}

void send_to(state& s, call_id id, calling::entry_address const& address)
{
    auto& c = s.m_calls.at(id);
    auto& service = s.m_services.at(c.m_request.m_service);
    c.m_tried.insert(address.m_host);
    bool const is_once = c.m_request.m_rule == call_rule::at_most_once;
    if (is_once && c.m_result.m_key.empty())
    {
        c.m_result.m_key = calling::make_key(service.m_book);
    }
    ++c.m_result.m_attempts;
    c.m_result.m_entry_host = address.m_host;
    c.m_result.m_status = 0;
    c.m_result.m_headers.clear();
    c.m_result.m_body.clear();
    auto const left = c.m_deadline - net::event_loop::now();
    net::exchange_options options;
    options.m_timeout = timeout_of(c, left);
    options.m_max_answer_bytes = s.m_settings.m_max_answer_bytes;
    if (is_once)
    {
        options.m_max_idle_time = once_connection_age;
    }
    s.m_client->send({address.m_address, address.m_port},
                     calling::make_attempt_request(c.m_request,
                                                   c.m_result.m_key,
                                                   c.m_result.m_attempts, left),
                     options,
                     {.m_on_head =
                          [&c](net::http_response_head head, auto)
                      {
                          c.m_result.m_status = head.m_status;
                          c.m_result.m_headers = std::move(head.m_headers);
                      },
                      .m_on_data = [&c](std::string_view data)
                      { c.m_result.m_body += data; },
                      .m_on_end =
                          [&s, id](net::exchange_outcome outcome)
                      {
                          on_attempt_end(s, id, outcome);
                      }});
}

void send_attempt(state& s, call_id id)
{
    auto& c = s.m_calls.at(id);
    auto& service = s.m_services[c.m_request.m_service];
    auto const now = net::event_loop::now();
    if (now >= c.m_deadline)
    {
        fail(s, id);
        return;
    }
    if (calling::needs_refresh(service.m_book, now))
    {
        fetch_addresses(s, c.m_request.m_service);
    }
    bool const needs_key = c.m_request.m_rule == call_rule::at_most_once &&
                           c.m_result.m_key.empty();
    auto const& answer = service.m_book.m_answer;
    if (answer.m_addresses.empty() || (needs_key && answer.m_session.empty()))
    {
        service.m_waiting.push_back(id);
        return;
    }
    auto const* address = calling::choose(service.m_book, c.m_tried, now);
    if (address == nullptr)
    {
        fail(s, id);
        return;
    }
    send_to(s, id, *address);
}

} // namespace

caller::caller(std::unique_ptr<state> s)
    : m_state(std::move(s))
{
}

caller::~caller() = default;

result<std::unique_ptr<caller>> caller::create(net::event_loop& loop,
                                               caller_settings settings)
{
    if (settings.m_entry_hosts.empty())
    {
        return make_error(result_code::settings_invalid,
                          "a caller needs at least one entry host");
    }
    auto s = std::make_unique<state>();
    s->m_loop = &loop;
    s->m_settings = std::move(settings);
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    s->m_client = take(std::move(client));
    return std::unique_ptr<caller>(new caller(std::move(s)));
}

void caller::call(call_request request, call_handler handler)
{
    auto& s = *m_state;
    auto const id = s.m_next++;
    ++s.m_counters.m_calls;
    open_call c;
    c.m_deadline = net::event_loop::now() + request.m_deadline;
    c.m_request = std::move(request);
    c.m_handler = std::move(handler);
    s.m_calls.emplace(id, std::move(c));
    s.m_loop->post(
        [&s, id, alive = std::weak_ptr(s.m_alive)]
        {
            if (!alive.expired())
            {
                send_attempt(s, id);
            }
        });
}

caller_counters const& caller::counters() const noexcept
{
    return m_state->m_counters;
}

} // namespace hawthornspur
