#include "target_emulator/target_state.hpp"

#include "base/text.hpp"
#include "common/answer_check.hpp"
#include "common/http_helpers.hpp"
#include "net/event_loop.hpp"

#include <algorithm>
#include <optional>

namespace hawthornspur::tools
{

namespace
{

constexpr std::size_t max_load_history = 4096;

std::string header_or_empty(net::http_request const& request,
                            std::string_view name)
{
    return std::string(net::find_header(request.m_headers, name).value_or(""));
}

bool draw_bool(target_state& state, double probability)
{
    return std::bernoulli_distribution(probability)(state.m_random);
}

void record_load(target_state& state)
{
    state.m_load_history.emplace_back(net::event_loop::now(),
                                      state.m_running.size());
    if (state.m_load_history.size() > max_load_history)
    {
        state.m_load_history.pop_front();
    }
}

template <class Value>
Value value_at(std::deque<std::pair<core::time_point, Value>> const& history,
               core::duration lag, Value fallback)
{
    auto const when = net::event_loop::now() - lag;
    auto const found =
        std::find_if(history.rbegin(), history.rend(),
                     [&](auto const& entry) { return entry.first <= when; });
    return found == history.rend() ? fallback : found->second;
}

std::optional<std::string> make_load_text(target_state const& state)
{
    auto const slots = static_cast<std::size_t>(state.m_faults.m_slots);
    std::size_t running = state.m_running.size();
    if (state.m_faults.m_load_lag > core::duration::zero())
    {
        running = value_at(state.m_load_history, state.m_faults.m_load_lag,
                           std::size_t{0});
    }
    if (state.m_faults.m_load == "none")
    {
        return std::nullopt;
    }
    if (state.m_faults.m_load == "idle")
    {
        running = 0;
    }
    if (state.m_faults.m_load == "full")
    {
        running = slots;
    }
    return std::to_string(running) + "/" + std::to_string(slots);
}

core::duration scale(core::duration time, double factor)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, core::duration::period>(time) * factor);
}

double current_cold_factor(target_state const& state)
{
    if (state.m_faults.m_cold_time <= core::duration::zero())
    {
        return 1;
    }
    auto const age = net::event_loop::now() - state.m_faults_change_time;
    double const warm_share =
        std::chrono::duration<double>(age) /
        std::chrono::duration<double>(state.m_faults.m_cold_time);
    return warm_share >= 1
               ? 1
               : 1 + (state.m_faults.m_cold_factor - 1) * (1 - warm_share);
}

core::duration choose_service_time(target_state& state, target_run const& run)
{
    auto const requested = parse_number<std::uint64_t>(
        header_or_empty(run.m_request, service_time_header));
    core::duration time{0};
    if (requested)
    {
        time = std::chrono::microseconds(*requested);
    }
    else if (auto const* distribution = find_distribution(
                 state.m_faults.m_service_times, run.m_request.m_uri))
    {
        time = draw_service_time(*distribution, state.m_random);
    }
    return scale(time,
                 state.m_faults.m_slow_factor * current_cold_factor(state));
}

void release_exchange(target_state& state, target_exchange const* exchange)
{
    std::erase_if(state.m_unanswered,
                  [&](auto const& entry) { return entry.get() == exchange; });
}

/// Keeps an unanswered exchange until its caller closes the connection.
void keep_unanswered(target_state& state,
                     std::shared_ptr<target_exchange> exchange)
{
    exchange->set_on_closed([&state, exchange_pointer = exchange.get()]
                            { release_exchange(state, exchange_pointer); });
    state.m_unanswered.push_back(std::move(exchange));
}

void send_truncated(target_state& state,
                    std::shared_ptr<target_exchange> const& exchange,
                    net::http_response_head const& head,
                    std::string const& body)
{
    // Always more than is sent, even for an empty or one-byte body.
    auto const announced = std::max<std::size_t>(body.size(), 2);
    exchange->start(head, announced);
    keep_unanswered(state, exchange);
    exchange->set_on_drained(
        [&state, exchange_pointer = exchange.get()]
        {
            state.m_tasks->run_after(
                {}, [&state, exchange_pointer]
                { release_exchange(state, exchange_pointer); });
        });
    exchange->write(body.empty() ? "x" : body.substr(0, announced / 2));
}

void send_answer(target_state& state, target_run const& run, int status)
{
    auto const& exchange = run.m_exchange;
    if (draw_bool(state, state.m_faults.m_garbage_probability))
    {
        ++state.m_counters["garbage"];
        write_raw(*run.m_connection, "\x01garbage\r\n\r\n");
        exchange->abort();
        return;
    }
    if (draw_bool(state, state.m_faults.m_reset_probability))
    {
        ++state.m_counters["reset"];
        exchange->abort();
        return;
    }
    auto const id = header_or_empty(run.m_request, request_id_header);
    auto const size = parse_number<std::size_t>(
                          header_or_empty(run.m_request, answer_bytes_header))
                          .value_or(state.m_faults.m_answer_bytes);
    auto const body = make_body(id, size);
    net::http_response_head head{status, status_headers(state)};
    head.m_headers.emplace_back(request_id_header, id);
    head.m_headers.emplace_back(checksum_header, checksum(body));
    head.m_headers.emplace_back("Content-Type", "application/octet-stream");
    if (draw_bool(state, state.m_faults.m_truncate_probability))
    {
        ++state.m_counters["truncated"];
        send_truncated(state, exchange, head, body);
        return;
    }
    exchange->reply(head, body);
}

void shed(target_state& state, target_exchange& exchange)
{
    ++state.m_counters["shed"];
    auto head = net::http_response_head{503, status_headers(state)};
    head.m_headers.emplace_back("Hawthornspur-Not-Run", "1");
    exchange.reply(head, "");
}

void start_queued_runs(target_state& state);

void finish_run(target_state& state, run_id id)
{
    auto const found = state.m_running.find(id);
    auto& run = found->second;
    auto const added_standstill =
        state.m_total_standstill - run.m_accounted_standstill;
    if (added_standstill > core::duration::zero() && !run.m_exceeds_deadline)
    {
        run.m_accounted_standstill = state.m_total_standstill;
        run.m_end_task = state.m_tasks->run_after(added_standstill, [&state, id]
                                                  { finish_run(state, id); });
        return;
    }
    auto const ended = std::move(run);
    state.m_running.erase(found);
    record_load(state);
    if (ended.m_connection->m_silent)
    {
        keep_unanswered(state, ended.m_exchange);
    }
    else if (ended.m_exceeds_deadline)
    {
        ++state.m_counters["deadline_passed"];
        ended.m_exchange->reply({504, status_headers(state)}, "");
    }
    else
    {
        send_answer(state, ended, 200);
    }
    start_queued_runs(state);
}

void cancel_run(target_state& state, run_id id)
{
    ++state.m_counters["cancelled"];
    if (auto const found = state.m_running.find(id);
        found != state.m_running.end())
    {
        state.m_tasks->cancel(found->second.m_end_task);
        state.m_running.erase(found);
        record_load(state);
        start_queued_runs(state);
        return;
    }
    std::erase_if(state.m_queue,
                  [id](auto const& entry) { return entry.first == id; });
}

void start_run(target_state& state, run_id id, target_run run)
{
    auto const now = net::event_loop::now();
    add_run(state.m_runs, header_or_empty(run.m_request, "Hawthornspur-Key"),
            header_or_empty(run.m_request, request_id_header));
    ++state.m_counters["runs"];
    if (is_deadly(state, run.m_request))
    {
        begin_deadly_run(state, run.m_request);
        state.m_running.emplace(id, std::move(run));
        record_load(state);
        return;
    }
    if (draw_bool(state, state.m_faults.m_fail_probability))
    {
        ++state.m_counters["failed"];
        run.m_exchange->set_on_closed(nullptr);
        send_answer(state, run, 500);
        return;
    }
    if (draw_bool(state, state.m_faults.m_silent_probability))
    {
        ++state.m_counters["silenced"];
        run.m_connection->m_silent = true;
    }
    auto const remaining_standstill =
        std::max(state.m_standstill_end - now, core::duration::zero());
    auto time = remaining_standstill + choose_service_time(state, run);
    if (auto const deadline = parse_number<std::uint64_t>(
            header_or_empty(run.m_request, "Hawthornspur-Deadline-Ms")))
    {
        auto const time_left =
            run.m_arrival + std::chrono::milliseconds(*deadline) - now;
        run.m_exceeds_deadline = time_left < time;
        time = std::min<core::duration>(time, time_left);
    }
    run.m_accounted_standstill = state.m_total_standstill;
    run.m_end_task =
        state.m_tasks->run_after(time, [&state, id] { finish_run(state, id); });
    state.m_running.emplace(id, std::move(run));
    record_load(state);
}

void start_queued_runs(target_state& state)
{
    while (!state.m_queue.empty() &&
           state.m_running.size() <
               static_cast<std::size_t>(state.m_faults.m_slots))
    {
        auto [id, run] = std::move(state.m_queue.front());
        state.m_queue.pop_front();
        start_run(state, id, std::move(run));
    }
}

} // namespace

net::http_headers status_headers(target_state const& state)
{
    net::http_headers headers{{"X-Target", state.m_settings.m_name}};
    if (auto load = make_load_text(state))
    {
        headers.emplace_back("Hawthornspur-Load", std::move(*load));
    }
    if (state.m_faults.m_advertise_rate_limit)
    {
        headers.emplace_back("Hawthornspur-Rate-Limit",
                             std::to_string(state.m_faults.m_rate_limit));
    }
    if (state.m_faults.m_draining)
    {
        headers.emplace_back("Hawthornspur-Draining", "1");
    }
    return headers;
}

void add_standstill(target_state& state, core::duration cost)
{
    state.m_standstill_end =
        std::max(state.m_standstill_end, net::event_loop::now()) + cost;
    state.m_total_standstill += cost;
}

void handle_request(target_state& state, net::http_request request,
                    std::shared_ptr<target_exchange> exchange,
                    connection_record& connection)
{
    ++state.m_counters["requests"];
    if (connection.m_silent)
    {
        keep_unanswered(state, std::move(exchange));
        return;
    }
    bool const refuses_requests =
        state.m_faults.m_draining && state.m_faults.m_refuse_when_draining;
    bool const is_full = state.m_running.size() >=
                         static_cast<std::size_t>(state.m_faults.m_slots);
    if (refuses_requests ||
        draw_bool(state, state.m_faults.m_shed_probability) ||
        (is_full && state.m_queue.size() >=
                        static_cast<std::size_t>(state.m_faults.m_queue)))
    {
        shed(state, *exchange);
        return;
    }
    auto const id = state.m_next_id++;
    exchange->set_on_closed([&state, id] { cancel_run(state, id); });
    target_run run{.m_request = std::move(request),
                   .m_exchange = std::move(exchange),
                   .m_connection = &connection,
                   .m_arrival = net::event_loop::now()};
    if (is_full)
    {
        state.m_queue.emplace_back(id, std::move(run));
        return;
    }
    start_run(state, id, std::move(run));
}

void answer_probe(target_state& state,
                  std::shared_ptr<target_exchange> exchange)
{
    ++state.m_counters["probes"];
    add_standstill(state, state.m_faults.m_probe_cost);
    bool const draining =
        value_at(state.m_health_history, state.m_faults.m_health_lag,
                 state.m_faults.m_draining);
    bool const healthy = state.m_faults.m_health == "healthy" ||
                         (state.m_faults.m_health == "true" && !draining);
    auto const remaining_standstill =
        state.m_standstill_end - net::event_loop::now();
    state.m_tasks->run_after(
        remaining_standstill,
        [&state, healthy, draining, exchange = std::move(exchange)]
        {
            net::http_response_head head{healthy ? 200 : 503,
                                         status_headers(state)};
            net::remove_header(head.m_headers, "Hawthornspur-Draining");
            if (draining && state.m_faults.m_health == "true")
            {
                head.m_headers.emplace_back("Hawthornspur-Draining", "1");
            }
            exchange->reply(head, "");
        });
}

} // namespace hawthornspur::tools
