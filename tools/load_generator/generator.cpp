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

struct generator
{
    net::event_loop* m_loop = nullptr;
    sender const* m_send = nullptr;
    load_run m_run;
    core::time_point m_start{};
    core::duration m_patience{0};
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    std::unique_ptr<net::timer> m_timer;
};

call_request make_request(load_run const& run, std::size_t index)
{
    auto const& a = run.m_arrivals[index];
    auto const& kind = run.m_plan.m_kinds[a.m_kind];
    auto const id = make_request_id(run.m_id, index);
    auto const service_time =
        std::chrono::duration_cast<std::chrono::microseconds>(a.m_service_time);
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

void note_end(generator& g, std::size_t index, call_result const& r)
{
    auto& record = g.m_run.m_records[index];
    record.m_latency =
        net::event_loop::now() - g.m_start - g.m_run.m_arrivals[index].m_at;
    record.m_code = static_cast<std::uint16_t>(r.m_code);
    record.m_execution = r.m_execution;
    record.m_status = static_cast<std::uint16_t>(r.m_status);
    record.m_attempts = static_cast<std::uint16_t>(r.m_attempts);
    record.m_end = r.m_code == result_code::ok
                       ? check_answer(make_request_id(g.m_run.m_id, index),
                                      r.m_status, r.m_headers, r.m_body)
                       : request_end::failed;
    --g.m_open;
    if (g.m_open == 0 && g.m_next == g.m_run.m_arrivals.size())
    {
        g.m_loop->stop();
    }
}

void send_due(generator& g)
{
    auto const& arrivals = g.m_run.m_arrivals;
    auto const elapsed = net::event_loop::now() - g.m_start;
    while (g.m_next < arrivals.size() && arrivals[g.m_next].m_at <= elapsed)
    {
        auto const index = g.m_next++;
        ++g.m_open;
        g.m_run.m_records[index].m_lag = elapsed - arrivals[index].m_at;
        g.m_send->m_call(make_request(g.m_run, index),
                         [&g, index](call_result const& r)
                         { note_end(g, index, r); });
    }
    if (g.m_next < arrivals.size())
    {
        g.m_timer->start(arrivals[g.m_next].m_at -
                         (net::event_loop::now() - g.m_start));
        return;
    }
    // All are sent; what has not ended by then is lost.
    auto const left = arrivals.back().m_at + g.m_patience -
                      (net::event_loop::now() - g.m_start);
    if (left <= core::duration::zero())
    {
        g.m_loop->stop();
        return;
    }
    g.m_timer->start(left);
}

} // namespace

result<load_run> run_load(net::event_loop& loop, load_plan const& plan,
                          std::string const& run_id, sender const& send,
                          core::duration patience)
{
    generator g;
    g.m_loop = &loop;
    g.m_send = &send;
    g.m_run = {run_id, plan, draw_arrivals(plan), {}};
    g.m_run.m_records.resize(g.m_run.m_arrivals.size());
    g.m_patience = patience;
    if (g.m_run.m_arrivals.empty())
    {
        return std::move(g.m_run);
    }
    auto made = net::timer::create(loop, [&g] { send_due(g); });
    if (!has_value(made))
    {
        return failure(made);
    }
    g.m_timer = take(std::move(made));
    g.m_start = net::event_loop::now();
    g.m_timer->start(g.m_run.m_arrivals.front().m_at);
    loop.run();
    return std::move(g.m_run);
}

} // namespace hawthornspur::tools
