#include "load_generator/generator.hpp"

#include "common/answer_check.hpp"
#include "net/event_loop.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

struct load_state
{
    net::event_loop* m_loop = nullptr;
    sender const* m_sender = nullptr;
    load_run m_run;
    core::time_point m_start{};
    core::duration m_patience{0};
    std::size_t m_next_index = 0;
    std::size_t m_pending = 0;
    std::unique_ptr<net::timer> m_timer;
};

call_request make_request(load_run const& run, std::size_t index)
{
    auto const& planned = run.m_arrivals[index];
    auto const& kind = run.m_plan.m_kinds[planned.m_kind];
    auto const id = make_request_id(run.m_id, index);
    auto const service_time =
        std::chrono::duration_cast<std::chrono::microseconds>(
            planned.m_service_time);
    call_request request;
    request.m_service = kind.m_service;
    request.m_method = kind.m_method;
    request.m_uri = kind.m_path;
    request.m_headers = {{std::string(request_id_header), id},
                         {std::string(service_time_header),
                          std::to_string(service_time.count())},
                         {std::string(answer_bytes_header),
                          std::to_string(kind.m_answer_bytes)}};
    if (kind.m_body_bytes > 0)
    {
        request.m_body = make_body(id, kind.m_body_bytes);
    }
    request.m_rule = kind.m_rule;
    request.m_deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(kind.m_deadline);
    request.m_attempt_limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            kind.m_attempt_limit);
    return request;
}

void record_result(load_state& state, std::size_t index,
                   call_result const& result)
{
    auto& record = state.m_run.m_records[index];
    record.m_latency = net::event_loop::now() - state.m_start -
                       state.m_run.m_arrivals[index].m_time;
    record.m_code = static_cast<std::uint16_t>(result.m_code);
    record.m_execution = result.m_execution;
    record.m_status = static_cast<std::uint16_t>(result.m_status);
    record.m_attempts = static_cast<std::uint16_t>(result.m_attempts);
    record.m_outcome =
        result.m_code == result_code::ok
            ? check_answer(make_request_id(state.m_run.m_id, index),
                           result.m_status, result.m_headers, result.m_body)
            : request_outcome::failed;
    --state.m_pending;
    if (state.m_pending == 0 &&
        state.m_next_index == state.m_run.m_arrivals.size())
    {
        state.m_loop->stop();
    }
}

void send_due_requests(load_state& state)
{
    auto const& arrivals = state.m_run.m_arrivals;
    auto const elapsed = net::event_loop::now() - state.m_start;
    while (state.m_next_index < arrivals.size() &&
           arrivals[state.m_next_index].m_time <= elapsed)
    {
        auto const index = state.m_next_index++;
        ++state.m_pending;
        state.m_run.m_records[index].m_send_lag =
            elapsed - arrivals[index].m_time;
        state.m_sender->m_call(make_request(state.m_run, index),
                               [&state, index](call_result const& result)
                               { record_result(state, index, result); });
    }
    if (state.m_next_index < arrivals.size())
    {
        state.m_timer->start(arrivals[state.m_next_index].m_time -
                             (net::event_loop::now() - state.m_start));
        return;
    }
    // All requests are sent; those still pending after m_patience are lost.
    auto const time_left = arrivals.back().m_time + state.m_patience -
                           (net::event_loop::now() - state.m_start);
    if (time_left <= core::duration::zero())
    {
        state.m_loop->stop();
        return;
    }
    state.m_timer->start(time_left);
}

} // namespace

result<load_run> run_load(net::event_loop& loop, load_plan const& plan,
                          std::string const& run_id, sender const& send,
                          core::duration patience)
{
    load_state state;
    state.m_loop = &loop;
    state.m_sender = &send;
    state.m_run = {run_id, plan, draw_arrivals(plan), {}};
    state.m_run.m_records.resize(state.m_run.m_arrivals.size());
    state.m_patience = patience;
    if (state.m_run.m_arrivals.empty())
    {
        return std::move(state.m_run);
    }
    auto timer =
        net::timer::create(loop, [&state] { send_due_requests(state); });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    state.m_timer = take(std::move(timer));
    state.m_start = net::event_loop::now();
    state.m_timer->start(state.m_run.m_arrivals.front().m_time);
    loop.run();
    return std::move(state.m_run);
}

} // namespace hawthornspur::tools
