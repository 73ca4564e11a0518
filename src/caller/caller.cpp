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

/// Time after the deadline for the entry host's own refusal to arrive.
constexpr core::duration refusal_grace = std::chrono::milliseconds(50);
constexpr core::duration address_request_timeout =
    std::chrono::milliseconds(500);
constexpr core::duration address_retry_delay = std::chrono::milliseconds(100);
constexpr core::duration min_address_request_timeout =
    std::chrono::milliseconds(1);
/// At-most-once requests use only recently active connections: a connection
/// that has died unnoticed would leave their outcome unknown.
constexpr core::duration once_connection_max_idle_time =
    std::chrono::seconds(1);

struct active_call
{
    call_request m_request;
    call_handler m_handler;
    core::time_point m_deadline{};
    std::set<std::string> m_tried_hosts;
    /// An attempt ended with an unknown outcome.
    bool m_may_have_run = false;
    failed_attempt m_failure{result_code::address_unavailable,
                             execution::not_run};
    /// Holds the data of the last attempt until the call ends.
    call_result m_result;
};

struct service_state
{
    calling::address_book m_book;
    core::retry_budget m_budget;
    /// Calls that wait for addresses or for a session.
    std::vector<call_id> m_waiting_calls;
    bool m_is_fetching = false;
    std::size_t m_source_index = 0;
    std::unique_ptr<net::timer> m_retry_timer;
};

} // namespace

struct caller::state
{
    net::event_loop* m_loop = nullptr;
    caller_settings m_settings;
    std::unique_ptr<net::http_client> m_client;
    std::map<std::string, service_state> m_services;
    std::unordered_map<call_id, active_call> m_calls;
    call_id m_next_call_id = 1;
    caller_counters m_counters;
    /// Expires with the caller; tasks posted to the loop check it.
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

namespace
{

using state = caller::state;

void send_attempt(state& self, call_id id);

void finish(state& self, call_id id)
{
    auto const found = self.m_calls.find(id);
    auto finished_call = std::move(found->second);
    self.m_calls.erase(found);
    finished_call.m_handler(std::move(finished_call.m_result));
}

void fail(state& self, call_id id)
{
    auto& call = self.m_calls.at(id);
    call.m_result.m_code = call.m_failure.m_code;
    call.m_result.m_execution =
        calling::get_call_execution(call.m_failure, call.m_may_have_run);
    finish(self, id);
}

/// The entry hosts to request addresses from: those of the last answer, then
/// those of the settings.
std::vector<net::endpoint> list_address_sources(state const& self,
                                                service_state const& service)
{
    std::vector<net::endpoint> sources;
    for (auto const& address : service.m_book.m_answer.m_addresses)
    {
        sources.push_back({address.m_address, address.m_port});
    }
    for (auto const& host : self.m_settings.m_entry_hosts)
    {
        sources.push_back({host.m_address, host.m_port});
    }
    return sources;
}

void fetch_addresses(state& self, std::string const& name);

void resume_waiting_calls(state& self, service_state& service)
{
    for (auto const id : std::exchange(service.m_waiting_calls, {}))
    {
        send_attempt(self, id);
    }
}

/// Fails the waiting calls whose deadline has passed. Returns the timeout of an
/// address request, which ends at the earliest deadline of the other calls.
core::duration fail_expired_calls(state& self, service_state& service)
{
    auto const now = net::event_loop::now();
    std::vector<call_id> expired;
    core::duration shortest_time_left = address_request_timeout;
    for (auto const id : service.m_waiting_calls)
    {
        auto const time_left = self.m_calls.at(id).m_deadline - now;
        if (time_left <= core::duration::zero())
        {
            expired.push_back(id);
            continue;
        }
        shortest_time_left = std::min(shortest_time_left, time_left);
    }
    for (auto const id : expired)
    {
        std::erase(service.m_waiting_calls, id);
        fail(self, id);
    }
    return std::max(shortest_time_left, min_address_request_timeout);
}

void on_address_failure(state& self, std::string const& name)
{
    auto& service = self.m_services.at(name);
    fail_expired_calls(self, service);
    ++service.m_source_index;
    if (service.m_source_index < list_address_sources(self, service).size())
    {
        fetch_addresses(self, name);
        return;
    }
    service.m_source_index = 0;
    // No retry timer: all other calls use the cached addresses.
    if (service.m_waiting_calls.empty())
    {
        return;
    }
    if (service.m_retry_timer == nullptr)
    {
        auto created = net::timer::create(*self.m_loop, [&self, name]
                                          { fetch_addresses(self, name); });
        if (!has_value(created))
        {
            return;
        }
        service.m_retry_timer = take(std::move(created));
    }
    service.m_retry_timer->start(address_retry_delay);
}

void on_addresses(state& self, std::string const& name, int status,
                  std::string const& body)
{
    auto& service = self.m_services.at(name);
    auto answer = status == 200
                      ? calling::parse_address_answer(body)
                      : result<calling::address_answer>(make_error(
                            result_code::not_found, "no address answer"));
    if (!has_value(answer))
    {
        on_address_failure(self, name);
        return;
    }
    service.m_source_index = 0;
    calling::update(service.m_book, take(std::move(answer)),
                    net::event_loop::now());
    resume_waiting_calls(self, service);
}

void fetch_addresses(state& self, std::string const& name)
{
    auto& service = self.m_services.at(name);
    if (service.m_is_fetching)
    {
        return;
    }
    auto const sources = list_address_sources(self, service);
    service.m_source_index %= sources.size();
    service.m_is_fetching = true;
    ++self.m_counters.m_address_requests;
    struct received_answer
    {
        int m_status = 0;
        std::string m_body;
    };
    auto const answer = std::make_shared<received_answer>();
    net::exchange_options options;
    options.m_timeout = fail_expired_calls(self, service);
    self.m_client->send(
        sources[service.m_source_index],
        calling::make_address_request(name, self.m_settings.m_zone), options,
        {.m_on_head = [answer](net::http_response_head head, auto)
         { answer->m_status = head.m_status; },
         .m_on_data = [answer](std::string_view data)
         { answer->m_body += data; },
         .m_on_end =
             [&self, name, answer](net::exchange_outcome outcome)
         {
             self.m_services.at(name).m_is_fetching = false;
             bool const is_complete =
                 outcome == net::exchange_outcome::complete;
             on_addresses(self, name, is_complete ? answer->m_status : 0,
                          answer->m_body);
         }});
}

/// Updates the reachability of the entry host and the session after an attempt.
void record_attempt_end(service_state& service, active_call const& call,
                        net::exchange_outcome outcome)
{
    auto const now = net::event_loop::now();
    auto const& host = call.m_result.m_entry_host;
    switch (outcome)
    {
    case net::exchange_outcome::connect_failed:
        calling::mark_unreachable(service.m_book, host, now);
        break;
    case net::exchange_outcome::not_sent:
        // Says nothing about the host, in either direction.
        break;
    case net::exchange_outcome::silent:
        calling::record_silent_attempt(service.m_book, host, now);
        break;
    default:
        calling::clear_failures(service.m_book, host);
        break;
    }
    auto const code = call.m_failure.m_code;
    if (code == result_code::host_leaving ||
        code == result_code::host_not_ready || code == result_code::host_paused)
    {
        calling::mark_unreachable(service.m_book, host, now);
    }
    auto const& session = service.m_book.m_answer.m_session;
    if (calling::invalidates_session(code) &&
        (call.m_result.m_key.empty() ||
         call.m_result.m_key.starts_with(session)))
    {
        calling::discard_session(service.m_book);
    }
}

void retry_or_fail(state& self, call_id id)
{
    auto& call = self.m_calls.at(id);
    auto& service = self.m_services.at(call.m_request.m_service);
    auto const now = net::event_loop::now();
    calling::retry_conditions const conditions{
        .m_rule = call.m_request.m_rule,
        .m_has_key = !call.m_result.m_key.empty(),
        .m_send_copies = self.m_settings.m_send_copies,
        .m_may_have_run = call.m_may_have_run,
        .m_can_retry =
            call.m_result.m_attempts < self.m_settings.m_max_attempts &&
            now < call.m_deadline &&
            calling::choose_address(service.m_book, call.m_tried_hosts, now) !=
                nullptr};
    auto const step = calling::choose_next_step(call.m_failure, conditions);
    call.m_may_have_run =
        call.m_may_have_run || call.m_failure.m_execution == execution::unknown;
    if (step == calling::next_step::give_up)
    {
        fail(self, id);
        return;
    }
    if (!calling::is_entry_host_failure(call.m_failure) &&
        !core::try_spend(service.m_budget))
    {
        ++self.m_counters.m_retries_without_budget;
        fail(self, id);
        return;
    }
    if (step == calling::next_step::send_copy)
    {
        ++self.m_counters.m_copies;
    }
    else
    {
        call.m_result.m_key.clear();
        ++(call.m_failure.m_execution == execution::not_run
               ? self.m_counters.m_retries_not_run
               : self.m_counters.m_retries_idempotent);
    }
    send_attempt(self, id);
}

void on_attempt_end(state& self, call_id id, net::exchange_outcome outcome)
{
    auto& call = self.m_calls.at(id);
    auto& service = self.m_services.at(call.m_request.m_service);
    auto const refusal = outcome == net::exchange_outcome::complete
                             ? calling::read_refusal(call.m_result.m_headers)
                             : calling::to_failed_attempt(outcome);
    call.m_failure = refusal.value_or(failed_attempt{});
    record_attempt_end(service, call, outcome);
    if (refusal)
    {
        retry_or_fail(self, id);
        return;
    }
    core::earn(service.m_budget);
    call.m_result.m_code = result_code::ok;
    call.m_result.m_execution = execution::ran;
    finish(self, id);
}

core::duration get_attempt_timeout(active_call const& call,
                                   core::duration time_left)
{
    auto const limit = core::duration(call.m_request.m_attempt_limit);
    bool const is_limited = call.m_request.m_rule == call_rule::idempotent &&
                            limit > core::duration::zero() && limit < time_left;
    return is_limited ? limit : time_left + refusal_grace;
}

void send_attempt_to(state& self, call_id id,
                     calling::entry_address const& address)
{
    auto& call = self.m_calls.at(id);
    auto& service = self.m_services.at(call.m_request.m_service);
    call.m_tried_hosts.insert(address.m_host);
    bool const is_once = call.m_request.m_rule == call_rule::at_most_once;
    if (is_once && call.m_result.m_key.empty())
    {
        call.m_result.m_key = calling::make_key(service.m_book);
    }
    ++call.m_result.m_attempts;
    call.m_result.m_entry_host = address.m_host;
    call.m_result.m_status = 0;
    call.m_result.m_headers.clear();
    call.m_result.m_body.clear();
    auto const time_left = call.m_deadline - net::event_loop::now();
    net::exchange_options options;
    options.m_timeout = get_attempt_timeout(call, time_left);
    options.m_max_answer_bytes = self.m_settings.m_max_answer_bytes;
    if (is_once)
    {
        options.m_max_idle_time = once_connection_max_idle_time;
    }
    self.m_client->send(
        {address.m_address, address.m_port},
        calling::make_attempt_request(call.m_request, call.m_result.m_key,
                                      call.m_result.m_attempts, time_left),
        options,
        {.m_on_head =
             [&call](net::http_response_head head, auto)
         {
             call.m_result.m_status = head.m_status;
             call.m_result.m_headers = std::move(head.m_headers);
         },
         .m_on_data = [&call](std::string_view data)
         { call.m_result.m_body += data; },
         .m_on_end =
             [&self, id](net::exchange_outcome outcome)
         {
             on_attempt_end(self, id, outcome);
         }});
}

void send_attempt(state& self, call_id id)
{
    auto& call = self.m_calls.at(id);
    auto& service = self.m_services[call.m_request.m_service];
    auto const now = net::event_loop::now();
    if (now >= call.m_deadline)
    {
        fail(self, id);
        return;
    }
    if (calling::needs_refresh(service.m_book, now))
    {
        fetch_addresses(self, call.m_request.m_service);
    }
    bool const needs_key = call.m_request.m_rule == call_rule::at_most_once &&
                           call.m_result.m_key.empty();
    auto const& answer = service.m_book.m_answer;
    if (answer.m_addresses.empty() || (needs_key && answer.m_session.empty()))
    {
        service.m_waiting_calls.push_back(id);
        return;
    }
    auto const* address =
        calling::choose_address(service.m_book, call.m_tried_hosts, now);
    if (address == nullptr)
    {
        fail(self, id);
        return;
    }
    send_attempt_to(self, id, *address);
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
                          "the caller settings have no entry hosts");
    }
    auto new_state = std::make_unique<state>();
    new_state->m_loop = &loop;
    new_state->m_settings = std::move(settings);
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    new_state->m_client = take(std::move(client));
    return std::unique_ptr<caller>(new caller(std::move(new_state)));
}

void caller::call(call_request request, call_handler handler)
{
    auto& self = *m_state;
    auto const id = self.m_next_call_id++;
    ++self.m_counters.m_calls;
    active_call new_call;
    new_call.m_deadline = net::event_loop::now() + request.m_deadline;
    new_call.m_request = std::move(request);
    new_call.m_handler = std::move(handler);
    self.m_calls.emplace(id, std::move(new_call));
    self.m_loop->post(
        [&self, id, alive = std::weak_ptr(self.m_alive)]
        {
            if (!alive.expired())
            {
                send_attempt(self, id);
            }
        });
}

caller_counters const& caller::counters() const noexcept
{
    return m_state->m_counters;
}

} // namespace hawthornspur
