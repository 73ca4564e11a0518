#include "core/pool.hpp"

#include <algorithm>
#include <cassert>
#include <deque>
#include <unordered_map>
#include <utility>

namespace hawthornspur::core
{

namespace
{

struct target_entry
{
    pool_target m_spec;
    int m_in_flight = 0;
};

struct request_entry
{
    arrival m_arrival;
    attempt_number m_attempt = 0;
    std::optional<target_id> m_target;
    std::vector<target_id> m_tried;
};

} // namespace

struct pool
{
    pool_rules m_rules;
    std::vector<target_entry> m_targets;
    std::unordered_map<request_id, request_entry> m_requests;
    std::deque<request_id> m_queue;
};

void pool_deleter::operator()(pool* p) const noexcept
{
    delete p;
}

pool_ptr make_pool(pool_rules rules, pool_start /*start*/, time_point /*now*/)
{
    pool_ptr p(new pool);
    p->m_rules = std::move(rules);
    return p;
}

void set_rules(pool& p, pool_rules rules)
{
    p.m_rules = std::move(rules);
}

namespace
{

target_entry* find_target(pool& p, target_id id)
{
    auto const found = std::find_if(p.m_targets.begin(), p.m_targets.end(),
                                    [&](target_entry const& entry)
                                    { return entry.m_spec.m_id == id; });
    return found == p.m_targets.end() ? nullptr : &*found;
}

target_entry* pick_target(pool& p, std::vector<target_id> const& tried)
{
    target_entry* best = nullptr;
    for (auto& entry : p.m_targets)
    {
        bool const usable = !entry.m_spec.m_leaving &&
                            entry.m_in_flight < entry.m_spec.m_slots &&
                            std::find(tried.begin(), tried.end(),
                                      entry.m_spec.m_id) == tried.end();
        if (usable &&
            (best == nullptr || entry.m_in_flight < best->m_in_flight))
        {
            best = &entry;
        }
    }
    return best;
}

bool is_idempotent(pool const& p, kind_id kind)
{
    assert(kind.m_value < p.m_rules.m_kinds.size());
    return p.m_rules.m_kinds[kind.m_value].m_execution ==
           execution_rule::idempotent;
}

void refuse(pool& p, request_id id, result_code code, pool_effects& out)
{
    p.m_requests.erase(id);
    out.emplace_back(refuse_effect{id, code});
}

void bind(pool& p, time_point now, pool_effects& out)
{
    while (!p.m_queue.empty())
    {
        auto const id = p.m_queue.front();
        auto const found = p.m_requests.find(id);
        if (found == p.m_requests.end())
        {
            p.m_queue.pop_front();
            continue;
        }
        auto& request = found->second;
        if (request.m_arrival.m_deadline <= now)
        {
            p.m_queue.pop_front();
            refuse(p, id, result_code::deadline_passed_in_queue, out);
            continue;
        }
        auto* target = pick_target(p, request.m_tried);
        if (target == nullptr)
        {
            return;
        }
        p.m_queue.pop_front();
        ++target->m_in_flight;
        ++request.m_attempt;
        request.m_target = target->m_spec.m_id;
        request.m_tried.push_back(target->m_spec.m_id);
        out.emplace_back(
            dispatch_effect{.m_request = id,
                            .m_attempt = request.m_attempt,
                            .m_target = target->m_spec.m_id,
                            .m_reason = attempt_reason::first,
                            .m_needs_proved_connection =
                                !is_idempotent(p, request.m_arrival.m_kind)});
    }
}

result_code code_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::shed:
        return result_code::target_shed;
    case attempt_outcome::connect_failed:
        return result_code::connect_failed;
    case attempt_outcome::silent:
        return result_code::target_silent;
    case attempt_outcome::malformed:
        return result_code::target_answer_malformed;
    default:
        return result_code::target_closed;
    }
}

} // namespace

void set_targets(pool& p, std::span<pool_target const> targets, time_point now,
                 service_budgets& /*budgets*/, pool_effects& out)
{
    std::vector<target_entry> next;
    for (auto const& spec : targets)
    {
        auto const* known = find_target(p, spec.m_id);
        next.push_back({spec, known == nullptr ? 0 : known->m_in_flight});
    }
    p.m_targets = std::move(next);
    bind(p, now, out);
}

void on_arrival(pool& p, arrival const& request, time_point now,
                service_budgets& /*budgets*/, pool_effects& out)
{
    if (p.m_queue.size() >= p.m_rules.m_max_queue)
    {
        out.emplace_back(
            refuse_effect{request.m_request, result_code::queue_full});
        return;
    }
    p.m_requests[request.m_request].m_arrival = request;
    p.m_queue.push_back(request.m_request);
    bind(p, now, out);
}

void on_answer_started(pool& p, request_id request, attempt_number attempt,
                       time_point /*now*/, pool_effects& out)
{
    auto const found = p.m_requests.find(request);
    if (found != p.m_requests.end() && found->second.m_attempt == attempt)
    {
        out.emplace_back(relay_effect{request, attempt});
    }
}

void on_attempt_ended(pool& p, attempt_end const& end, time_point now,
                      service_budgets& budgets, pool_effects& out)
{
    auto const found = p.m_requests.find(end.m_request);
    if (found == p.m_requests.end() ||
        found->second.m_attempt != end.m_attempt || !found->second.m_target)
    {
        return;
    }
    if (auto* target = find_target(p, *found->second.m_target))
    {
        --target->m_in_flight;
    }
    found->second.m_target.reset();
    if (end.m_outcome == attempt_outcome::ok ||
        end.m_outcome == attempt_outcome::server_error ||
        end.m_outcome == attempt_outcome::cancelled)
    {
        earn(budgets.m_retry);
        p.m_requests.erase(found);
    }
    else
    {
        refuse(p, end.m_request, code_of(end.m_outcome), out);
    }
    bind(p, now, out);
}

void on_cancel(pool& p, request_id request, time_point /*now*/,
               service_budgets& /*budgets*/, pool_effects& out)
{
    auto const found = p.m_requests.find(request);
    if (found == p.m_requests.end())
    {
        return;
    }
    if (found->second.m_target)
    {
        out.emplace_back(cancel_attempt_effect{request, found->second.m_attempt,
                                               *found->second.m_target});
        return;
    }
    p.m_requests.erase(found);
}

void on_probe_answer(pool& /*p*/, probe_answer const& /*answer*/,
                     time_point /*now*/, service_budgets& /*budgets*/,
                     pool_effects& /*out*/)
{
}

void on_summary(pool& /*p*/, pool_summary const& /*summary*/, duration /*cost*/,
                time_point /*now*/)
{
}

void on_spill_refused(pool& p, arrival const& request, time_point now,
                      service_budgets& budgets, pool_effects& out)
{
    on_arrival(p, request, now, budgets, out);
}

void on_timer(pool& p, time_point now, service_budgets& /*budgets*/,
              pool_effects& out)
{
    auto const queue = p.m_queue;
    for (auto const id : queue)
    {
        auto const found = p.m_requests.find(id);
        if (found != p.m_requests.end() &&
            found->second.m_arrival.m_deadline <= now)
        {
            refuse(p, id, result_code::deadline_passed_in_queue, out);
        }
    }
    std::erase_if(p.m_queue,
                  [&](request_id id) { return !p.m_requests.contains(id); });
    bind(p, now, out);
}

std::optional<time_point> next_timer(pool const& p)
{
    std::optional<time_point> next;
    for (auto const id : p.m_queue)
    {
        auto const found = p.m_requests.find(id);
        if (found != p.m_requests.end() &&
            (!next || found->second.m_arrival.m_deadline < *next))
        {
            next = found->second.m_arrival.m_deadline;
        }
    }
    return next;
}

pool_summary summarize(pool const& p, std::string zone, time_point /*now*/)
{
    pool_summary summary;
    summary.m_zone = std::move(zone);
    summary.m_queued = p.m_queue.size();
    for (auto const& entry : p.m_targets)
    {
        summary.m_slots += entry.m_spec.m_slots;
        summary.m_free_slots += entry.m_spec.m_slots - entry.m_in_flight;
    }
    return summary;
}

std::vector<target_handover> hand_over(pool const& p)
{
    std::vector<target_handover> counts;
    for (auto const& entry : p.m_targets)
    {
        counts.push_back({entry.m_spec.m_id, entry.m_in_flight,
                          static_cast<double>(entry.m_spec.m_slots)});
    }
    return counts;
}

void take_over(pool& /*p*/, std::span<target_handover const> /*counts*/,
               time_point /*release_at*/, time_point /*now*/)
{
}

std::size_t queue_length(pool const& p) noexcept
{
    return p.m_queue.size();
}

std::size_t in_flight(pool const& p) noexcept
{
    std::size_t total = 0;
    for (auto const& entry : p.m_targets)
    {
        total += static_cast<std::size_t>(entry.m_in_flight);
    }
    return total;
}

} // namespace hawthornspur::core
