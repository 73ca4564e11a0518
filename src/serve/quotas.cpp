#include "serve/quotas.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "core/customers.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"
#include "serve/quota_state.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Longest time that a call waits for the home. Several round trips between
/// zones, and short enough for a caller to try another host.
constexpr auto max_wait = std::chrono::milliseconds(150);

/// Bounds the memory for the calls of a customer that wait.
constexpr std::size_t max_waiting = 200;

/// Shortest interval at which a home is asked.
constexpr auto question_interval = std::chrono::milliseconds(10);

/// Shortest retry delay. Without a delay, the one of the pool would be used.
constexpr core::duration min_retry_delay = std::chrono::milliseconds(1);

constexpr std::size_t max_reports = 20;

core::customer_config const* find_limited(entry_host const& host,
                                          std::string_view name)
{
    auto const& document = host.m_configuration.m_in_force;
    auto const* customer =
        name.empty() || document == nullptr || document->m_customers == nullptr
            ? nullptr
            : core::find_customer(*document->m_customers, name);
    return customer != nullptr && customer->m_rate > 0 ? customer : nullptr;
}

core::quota_limits limits_of(core::customer_config const& customer)
{
    return {customer.m_rate, customer.m_burst};
}

bool is_self(entry_host const& host, std::string const* home)
{
    return home != nullptr && *home == host.m_settings.m_name;
}

void start_timer(quota_state& quotas, core::time_point due)
{
    due = std::max(due, quotas.m_checked_at + question_interval);
    if (!quotas.m_timer_due || due < *quotas.m_timer_due)
    {
        quotas.m_timer_due = due;
        quotas.m_timer->start(std::max(core::duration(0), due - now()));
    }
}

/// Starts the timer for what the customer needs next. Returns false if it needs
/// nothing.
bool schedule_check(quota_state& quotas, limited_customer& customer)
{
    auto const waiting = customer.m_waiting.size();
    auto due = core::next_check(customer.m_allowance, waiting);
    if (core::is_question_due(customer.m_allowance, waiting, now()))
    {
        due = now();
    }
    if (waiting > 0)
    {
        auto const expiry = customer.m_waiting.front().m_expires_at;
        due = due ? std::min(*due, expiry) : expiry;
    }
    if (due)
    {
        start_timer(quotas, *due);
    }
    return due.has_value();
}

void update_share(entry_host& host)
{
    auto& quotas = *host.m_quotas;
    auto const start = core::joint_start(host.m_fleet_start, now());
    core::set_share(quotas.m_ledger,
                    core::quota_share(quotas.m_contact, quotas.m_lost_since,
                                      now(), start.has_value()),
                    now());
    core::set_joint_start(quotas.m_ledger, start, now());
}

/// Grants what a host asks for; nothing if this host is not the home.
std::optional<core::granted_tokens> answer(quota_state& quotas,
                                           core::quota_demand const& demand)
{
    if (!core::is_home_of(quotas.m_ledger, demand.m_customer))
    {
        return std::nullopt;
    }
    core::report_unused(quotas.m_ledger, demand, now());
    return core::grant(quotas.m_ledger, demand, now());
}

/// Asks this host as the home of a customer.
void ask_self(entry_host& host, std::string const& name,
              limited_customer& customer, std::size_t waiting)
{
    auto& quotas = *host.m_quotas;
    update_share(host);
    auto const need = core::make_question(customer.m_allowance, waiting, now());
    auto const granted =
        answer(quotas, {name, host.m_settings.m_name, need.m_wanted,
                        need.m_used, need.m_unused});
    if (granted)
    {
        core::on_grant(customer.m_allowance, now(), granted->m_tokens,
                       granted->m_next_token, now());
    }
}

void refuse(entry_host& host, limited_customer& state, double rate,
            active_call& call)
{
    ++current_counts(state.m_usage, now()).m_refused;
    host.m_metrics.count_event("quota_refused");
    call.m_retry_after = std::max(
        min_retry_delay, core::retry_delay(state.m_allowance, rate, now()));
    fail_call(host, call, result_code::quota_exceeded);
}

void count_admission(limited_customer& state, active_call& call)
{
    call.m_is_quota_counted = true;
    ++current_counts(state.m_usage, now()).m_admitted;
}

/// Keeps the call until the home answers. Returns false if too many wait.
bool hold(entry_host& host, limited_customer& state, active_call const& call)
{
    if (state.m_waiting.size() >= max_waiting)
    {
        return false;
    }
    host.m_metrics.count_event("quota_wait");
    state.m_waiting.push_back({call.m_id, now() + max_wait});
    return true;
}

/// Continues the calls that wait, as far as the answer of the home allows.
void release_waiting(entry_host& host, std::string const& name)
{
    while (true)
    {
        // Looked up each time, since a call that continues may change anything.
        auto const found = host.m_quotas->m_customers.find(name);
        if (found == host.m_quotas->m_customers.end() ||
            found->second.m_waiting.empty())
        {
            return;
        }
        auto& state = found->second;
        auto* call = find_call(host, state.m_waiting.front().m_id);
        if (call == nullptr)
        {
            state.m_waiting.pop_front();
            continue;
        }
        if (host.m_is_isolated)
        {
            state.m_waiting.pop_front();
            fail_call(host, *call, result_code::host_paused);
            continue;
        }
        auto const* limited = find_limited(host, name);
        auto const decision = limited == nullptr
                                  ? core::quota_decision::admitted
                                  : core::take(state.m_allowance, now());
        if (decision == core::quota_decision::wait)
        {
            return;
        }
        state.m_waiting.pop_front();
        if (decision == core::quota_decision::refused)
        {
            refuse(host, state, limited->m_rate, *call);
            continue;
        }
        if (limited != nullptr)
        {
            count_admission(state, *call);
        }
        enqueue_call(host, *call);
    }
}

/// Refuses the calls that have waited for too long.
void expire_waiting(entry_host& host, limited_customer& state)
{
    std::vector<core::request_id> late;
    while (!state.m_waiting.empty() &&
           state.m_waiting.front().m_expires_at <= now())
    {
        late.push_back(state.m_waiting.front().m_id);
        state.m_waiting.pop_front();
    }
    for (auto const id : late)
    {
        if (auto* call = find_call(host, id))
        {
            host.m_metrics.count_event("quota_wait_expired");
            fail_call(host, *call, result_code::owner_unreachable);
        }
    }
}

using questions_by_home =
    std::map<std::string, std::vector<net::quota_question>>;

/// Adds the question for a customer to the message for its home.
void collect_question(entry_host& host, std::string const& name,
                      limited_customer& state, questions_by_home& questions)
{
    auto const waiting = state.m_waiting.size();
    auto const* home = core::choose_quota_home(host.m_quotas->m_homes, name);
    if (home == nullptr ||
        !core::is_question_due(state.m_allowance, waiting, now()))
    {
        return;
    }
    if (is_self(host, home))
    {
        ask_self(host, name, state, waiting);
        return;
    }
    auto& list = questions[*home];
    // The others are asked in the next interval.
    if (list.size() < net::max_quota_customers)
    {
        auto const need =
            core::make_question(state.m_allowance, waiting, now());
        list.push_back({name, std::min(need.m_wanted, net::max_quota_tokens),
                        std::min(need.m_used, net::max_quota_tokens),
                        std::min(need.m_unused, net::max_quota_tokens)});
    }
}

void send_questions(entry_host& host, questions_by_home questions)
{
    auto& quotas = *host.m_quotas;
    // An answer that is later than the allowance lasts has no effect.
    std::erase_if(quotas.m_requests,
                  [](auto const& entry) {
                      return entry.second.m_asked_at +
                                 core::quota_allowance_lifetime <
                             now();
                  });
    for (auto& [home, list] : questions)
    {
        auto const sequence = quotas.m_next_sequence++;
        quotas.m_requests[sequence] = {home, now()};
        auto const sent = host.m_peer_network->send(
            home, net::quota_request{sequence, std::move(list)});
        if (!has_value(sent))
        {
            host.m_metrics.count_event("quota_question_failed");
        }
    }
}

void on_quota_timer(entry_host& host)
{
    diagnostics::activity_scope const scope("quota.timer");
    detect_pause(host);
    auto& quotas = *host.m_quotas;
    quotas.m_timer_due.reset();
    quotas.m_checked_at = now();
    questions_by_home questions;
    auto const active = quotas.m_active;
    for (auto const& name : active)
    {
        auto const found = quotas.m_customers.find(name);
        if (found != quotas.m_customers.end())
        {
            expire_waiting(host, found->second);
        }
        // Looked up again, since refusals may change the customers.
        auto const kept = quotas.m_customers.find(name);
        if (kept != quotas.m_customers.end())
        {
            collect_question(host, name, kept->second, questions);
            release_waiting(host, name);
        }
    }
    send_questions(host, std::move(questions));
    for (auto const& name : active)
    {
        auto const found = quotas.m_customers.find(name);
        if (found == quotas.m_customers.end() ||
            !schedule_check(quotas, found->second))
        {
            quotas.m_active.erase(name);
        }
    }
}

bool has_limits(core::configuration const& document)
{
    if (document.m_customers == nullptr)
    {
        return false;
    }
    auto const& list = core::customers(*document.m_customers);
    return std::any_of(list.begin(), list.end(),
                       [](core::customer_config const& customer)
                       { return customer.m_rate > 0; });
}

/// Creates the state if the document limits a customer.
void create_state(entry_host& host)
{
    if (host.m_quotas != nullptr ||
        !has_limits(*host.m_configuration.m_in_force))
    {
        return;
    }
    auto timer =
        net::timer::create(*host.m_loop, [&host] { on_quota_timer(host); });
    if (!has_value(timer))
    {
        logging::write(logging::level::error, "serve.quotas",
                       "no timer for quotas", {});
        return;
    }
    host.m_quotas = std::make_unique<quota_state>();
    host.m_quotas->m_timer = take(std::move(timer));
}

/// Sets the customers whose home is this host.
void update_ledger(entry_host& host)
{
    auto& quotas = *host.m_quotas;
    std::vector<core::quota_customer> own;
    if (quotas.m_table != nullptr)
    {
        for (auto const& customer : core::customers(*quotas.m_table))
        {
            if (customer.m_rate > 0 &&
                is_self(host, core::choose_quota_home(quotas.m_homes,
                                                      customer.m_name)))
            {
                own.push_back({customer.m_name, limits_of(customer)});
            }
        }
    }
    core::set_limits(quotas.m_ledger, own, quotas.m_margin, now());
}

/// Forgets the customers that have no limit any more.
void remove_unlimited(entry_host& host)
{
    std::erase_if(host.m_quotas->m_customers,
                  [&](auto const& entry)
                  {
                      return entry.second.m_waiting.empty() &&
                             find_limited(host, entry.first) == nullptr;
                  });
}

} // namespace

bool admit_to_quota(entry_host& host, active_call& call)
{
    auto const* limited = find_limited(host, call.m_customer);
    if (limited == nullptr || call.m_origin == call_origin::spilled ||
        call.m_is_quota_counted)
    {
        return true;
    }
    if (host.m_quotas == nullptr)
    {
        fail_call(host, call, result_code::owner_unreachable);
        return false;
    }
    auto& quotas = *host.m_quotas;
    auto& state = quotas.m_customers[limited->m_name];
    auto& allowance = state.m_allowance;
    allowance.m_max_batch =
        core::max_batch(limits_of(*limited), quotas.m_margin);
    core::record_demand(allowance, now());
    auto decision = core::take(allowance, now());
    if (decision == core::quota_decision::wait &&
        is_self(host, core::choose_quota_home(quotas.m_homes, call.m_customer)))
    {
        ask_self(host, limited->m_name, state, state.m_waiting.size() + 1);
        decision = core::take(allowance, now());
    }
    bool const is_held =
        decision == core::quota_decision::wait && hold(host, state, call);
    if (schedule_check(quotas, state))
    {
        quotas.m_active.insert(limited->m_name);
    }
    if (decision == core::quota_decision::refused)
    {
        refuse(host, state, limited->m_rate, call);
    }
    else if (decision == core::quota_decision::admitted)
    {
        count_admission(state, call);
    }
    else if (!is_held)
    {
        fail_call(host, call, result_code::owner_unreachable);
    }
    return decision == core::quota_decision::admitted;
}

void return_quota(entry_host& host, active_call& call)
{
    if (!std::exchange(call.m_is_quota_counted, false) ||
        host.m_quotas == nullptr)
    {
        return;
    }
    auto& quotas = *host.m_quotas;
    auto const found = quotas.m_customers.find(call.m_customer);
    if (found != quotas.m_customers.end())
    {
        core::put_back(found->second.m_allowance, now());
        if (schedule_check(quotas, found->second))
        {
            quotas.m_active.insert(found->first);
        }
    }
}

void update_quotas(entry_host& host)
{
    auto const& document = host.m_configuration.m_in_force;
    if (document == nullptr)
    {
        return;
    }
    create_state(host);
    if (host.m_quotas == nullptr)
    {
        return;
    }
    auto& quotas = *host.m_quotas;
    quotas.m_contact = core::observe_contact(
        host.m_routing, *document, host.m_settings.m_name,
        [&](std::string const& name)
        { return host.m_peer_network->is_reachable(name); });
    if (!core::has_lost_contact(quotas.m_contact))
    {
        quotas.m_lost_since.reset();
    }
    else if (!quotas.m_lost_since)
    {
        quotas.m_lost_since = now();
    }
    update_share(host);
    core::quota_margin const margin{host.m_deployment_bounds.m_quota_overage,
                                    host.m_deployment_bounds.m_quota_slack};
    auto homes = core::quota_homes(host.m_routing, *document);
    if (homes != quotas.m_homes || document->m_customers != quotas.m_table ||
        margin != quotas.m_margin)
    {
        quotas.m_homes = std::move(homes);
        quotas.m_table = document->m_customers;
        quotas.m_margin = margin;
        update_ledger(host);
        remove_unlimited(host);
    }
}

void reset_quotas_after_pause(entry_host& host)
{
    if (host.m_quotas != nullptr)
    {
        core::reset_after_pause(host.m_quotas->m_ledger, now());
    }
}

void on_quota_request(entry_host& host, std::string const& from,
                      net::quota_request const& message)
{
    if (host.m_quotas == nullptr)
    {
        return;
    }
    update_share(host);
    net::quota_grant reply{message.m_sequence, {}};
    for (auto const& question : message.m_questions)
    {
        auto const granted = answer(
            *host.m_quotas, {question.m_customer, from, question.m_wanted,
                             question.m_used, question.m_unused});
        if (granted)
        {
            reply.m_answers.push_back({question.m_customer, granted->m_tokens,
                                       granted->m_next_token});
        }
    }
    if (!reply.m_answers.empty())
    {
        static_cast<void>(host.m_peer_network->send(from, std::move(reply)));
    }
}

void on_quota_grant(entry_host& host, std::string const& from,
                    net::quota_grant const& message)
{
    if (host.m_quotas == nullptr)
    {
        return;
    }
    auto& quotas = *host.m_quotas;
    auto const sent = quotas.m_requests.find(message.m_sequence);
    if (sent == quotas.m_requests.end() || sent->second.m_home != from)
    {
        return;
    }
    auto const asked_at = sent->second.m_asked_at;
    quotas.m_requests.erase(sent);
    for (auto const& granted : message.m_answers)
    {
        auto const found = quotas.m_customers.find(granted.m_customer);
        if (found == quotas.m_customers.end())
        {
            continue;
        }
        core::on_grant(found->second.m_allowance, asked_at, granted.m_tokens,
                       granted.m_next_token, now());
        expire_waiting(host, found->second);
        quotas.m_active.insert(granted.m_customer);
        start_timer(quotas, now());
        release_waiting(host, granted.m_customer);
    }
}

std::vector<quota_report> most_refused_customers(entry_host& host)
{
    std::vector<quota_report> reports;
    if (host.m_quotas == nullptr)
    {
        return reports;
    }
    for (auto& [name, state] : host.m_quotas->m_customers)
    {
        auto const counts = last_minute(state.m_usage, now());
        auto const* limited = find_limited(host, name);
        if (counts.m_refused > 0 && limited != nullptr)
        {
            reports.push_back(
                {name, limited->m_rate, limited->m_burst, counts});
        }
    }
    std::sort(reports.begin(), reports.end(),
              [](quota_report const& a, quota_report const& b)
              {
                  return std::tie(b.m_last_minute.m_refused, a.m_customer) <
                         std::tie(a.m_last_minute.m_refused, b.m_customer);
              });
    reports.resize(std::min(reports.size(), max_reports));
    return reports;
}

} // namespace hawthornspur::serve
