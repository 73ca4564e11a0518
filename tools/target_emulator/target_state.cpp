#include "target_emulator/target_state.hpp"

#include "base/text.hpp"
#include "common/answer_check.hpp"
#include "common/http_text.hpp"
#include "net/event_loop.hpp"

#include <algorithm>
#include <optional>

namespace hawthornspur::tools
{

namespace
{

constexpr std::size_t max_history = 4096;

std::string header_or(net::http_request const& request, std::string_view name)
{
    return std::string(net::find_header(request.m_headers, name).value_or(""));
}

bool happens(target_state& s, double probability)
{
    return std::bernoulli_distribution(probability)(s.m_random);
}

void note_load(target_state& s)
{
    s.m_load_history.emplace_back(net::event_loop::now(), s.m_running.size());
    if (s.m_load_history.size() > max_history)
    {
        s.m_load_history.pop_front();
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

std::optional<std::string> load_text(target_state const& s)
{
    auto const slots = static_cast<std::size_t>(s.m_faults.m_slots);
    std::size_t running = s.m_running.size();
    if (s.m_faults.m_load_lag > core::duration::zero())
    {
        running =
            value_at(s.m_load_history, s.m_faults.m_load_lag, std::size_t{0});
    }
    if (s.m_faults.m_load == "none")
    {
        return std::nullopt;
    }
    if (s.m_faults.m_load == "idle")
    {
        running = 0;
    }
    if (s.m_faults.m_load == "full")
    {
        running = slots;
    }
    return std::to_string(running) + "/" + std::to_string(slots);
}

core::duration scaled(core::duration time, double factor)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, core::duration::period>(time) * factor);
}

double cold_factor(target_state const& s)
{
    if (s.m_faults.m_cold_time <= core::duration::zero())
    {
        return 1;
    }
    auto const age = net::event_loop::now() - s.m_faults_set;
    double const warm = std::chrono::duration<double>(age) /
                        std::chrono::duration<double>(s.m_faults.m_cold_time);
    return warm >= 1 ? 1 : 1 + (s.m_faults.m_cold_factor - 1) * (1 - warm);
}

core::duration service_time_of(target_state& s, target_run const& run)
{
    auto const fixed = parse_number<std::uint64_t>(
        header_or(run.m_request, service_time_header));
    core::duration time{0};
    if (fixed)
    {
        time = std::chrono::microseconds(*fixed);
    }
    else if (auto const* row =
                 find_row(s.m_faults.m_service_times, run.m_request.m_uri))
    {
        time = draw(*row, s.m_random);
    }
    return scaled(time, s.m_faults.m_slow_factor * cold_factor(s));
}

void release(target_state& s, target_exchange const* exchange)
{
    std::erase_if(s.m_held,
                  [&](auto const& held) { return held.get() == exchange; });
}

/// Keeps an exchange until its caller closes the connection.
void hold(target_state& s, std::shared_ptr<target_exchange> exchange)
{
    exchange->set_on_closed([&s, raw = exchange.get()] { release(s, raw); });
    s.m_held.push_back(std::move(exchange));
}

void send_truncated(target_state& s,
                    std::shared_ptr<target_exchange> const& exchange,
                    net::http_response_head const& head,
                    std::string const& body)
{
    // At least one byte is missing.
    auto const announced = std::max<std::size_t>(body.size(), 2);
    exchange->start(head, announced);
    hold(s, exchange);
    exchange->set_on_drained(
        [&s, raw = exchange.get()]
        { s.m_tasks->run_after({}, [&s, raw] { release(s, raw); }); });
    exchange->write(body.empty() ? "x" : body.substr(0, announced / 2));
}

void send_answer(target_state& s, target_run const& run, int status)
{
    auto const& exchange = run.m_exchange;
    if (happens(s, s.m_faults.m_garbage_probability))
    {
        ++s.m_counters["garbage"];
        write_raw(*run.m_connection, "\x01garbage\r\n\r\n");
        exchange->abort();
        return;
    }
    auto const id = header_or(run.m_request, request_id_header);
    auto const size =
        parse_number<std::size_t>(header_or(run.m_request, answer_bytes_header))
            .value_or(s.m_faults.m_answer_bytes);
    auto const body = make_body(id, size);
    net::http_response_head head{status, status_headers(s)};
    head.m_headers.emplace_back(request_id_header, id);
    head.m_headers.emplace_back(checksum_header, checksum(body));
    head.m_headers.emplace_back("Content-Type", "application/octet-stream");
    if (happens(s, s.m_faults.m_truncate_probability))
    {
        ++s.m_counters["truncated"];
        send_truncated(s, exchange, head, body);
        return;
    }
    exchange->reply(head, body);
}

void shed(target_state& s, target_exchange& exchange)
{
    ++s.m_counters["shed"];
    auto head = net::http_response_head{503, status_headers(s)};
    head.m_headers.emplace_back("Hawthornspur-Not-Run", "1");
    exchange.reply(head, "");
}

void start_next(target_state& s);

void finish(target_state& s, run_id id)
{
    auto const found = s.m_running.find(id);
    auto& run = found->second;
    auto const late = s.m_standstill - run.m_standstill_seen;
    if (late > core::duration::zero() && !run.m_deadline_passes)
    {
        run.m_standstill_seen = s.m_standstill;
        run.m_end = s.m_tasks->run_after(late, [&s, id] { finish(s, id); });
        return;
    }
    auto const ended = std::move(run);
    s.m_running.erase(found);
    note_load(s);
    if (ended.m_connection->m_silent)
    {
        hold(s, ended.m_exchange);
    }
    else if (ended.m_deadline_passes)
    {
        ++s.m_counters["deadline_passed"];
        ended.m_exchange->reply({504, status_headers(s)}, "");
    }
    else
    {
        send_answer(s, ended, 200);
    }
    start_next(s);
}

void cancel(target_state& s, run_id id)
{
    ++s.m_counters["cancelled"];
    if (auto const found = s.m_running.find(id); found != s.m_running.end())
    {
        s.m_tasks->cancel(found->second.m_end);
        s.m_running.erase(found);
        note_load(s);
        start_next(s);
        return;
    }
    std::erase_if(s.m_queue,
                  [id](auto const& entry) { return entry.first == id; });
}

void start_run(target_state& s, run_id id, target_run run)
{
    auto const now = net::event_loop::now();
    add_run(s.m_runs, header_or(run.m_request, "Hawthornspur-Key"),
            header_or(run.m_request, request_id_header));
    ++s.m_counters["runs"];
    if (happens(s, s.m_faults.m_fail_probability))
    {
        ++s.m_counters["failed"];
        run.m_exchange->set_on_closed(nullptr);
        send_answer(s, run, 500);
        return;
    }
    if (happens(s, s.m_faults.m_silent_probability))
    {
        ++s.m_counters["silenced"];
        run.m_connection->m_silent = true;
    }
    auto const still = std::max(s.m_still_until - now, core::duration::zero());
    auto time = still + service_time_of(s, run);
    if (auto const deadline = parse_number<std::uint64_t>(
            header_or(run.m_request, "Hawthornspur-Deadline-Ms")))
    {
        auto const left =
            run.m_arrived + std::chrono::milliseconds(*deadline) - now;
        run.m_deadline_passes = left < time;
        time = std::min<core::duration>(time, left);
    }
    run.m_standstill_seen = s.m_standstill;
    run.m_end = s.m_tasks->run_after(time, [&s, id] { finish(s, id); });
    s.m_running.emplace(id, std::move(run));
    note_load(s);
}

void start_next(target_state& s)
{
    while (!s.m_queue.empty() &&
           s.m_running.size() < static_cast<std::size_t>(s.m_faults.m_slots))
    {
        auto [id, run] = std::move(s.m_queue.front());
        s.m_queue.pop_front();
        start_run(s, id, std::move(run));
    }
}

} // namespace

net::http_headers status_headers(target_state const& s)
{
    net::http_headers headers{{"X-Target", s.m_settings.m_name}};
    if (auto load = load_text(s))
    {
        headers.emplace_back("Hawthornspur-Load", std::move(*load));
    }
    if (s.m_faults.m_draining)
    {
        headers.emplace_back("Hawthornspur-Draining", "1");
    }
    return headers;
}

void add_standstill(target_state& s, core::duration cost)
{
    s.m_still_until = std::max(s.m_still_until, net::event_loop::now()) + cost;
    s.m_standstill += cost;
}

void take_request(target_state& s, net::http_request request,
                  std::shared_ptr<target_exchange> exchange,
                  connection_record& connection)
{
    ++s.m_counters["requests"];
    if (connection.m_silent)
    {
        hold(s, std::move(exchange));
        return;
    }
    bool const leaves =
        s.m_faults.m_draining && s.m_faults.m_refuse_when_draining;
    bool const full =
        s.m_running.size() >= static_cast<std::size_t>(s.m_faults.m_slots);
    if (leaves || happens(s, s.m_faults.m_shed_probability) ||
        (full &&
         s.m_queue.size() >= static_cast<std::size_t>(s.m_faults.m_queue)))
    {
        shed(s, *exchange);
        return;
    }
    auto const id = s.m_next++;
    exchange->set_on_closed([&s, id] { cancel(s, id); });
    target_run run{.m_request = std::move(request),
                   .m_exchange = std::move(exchange),
                   .m_connection = &connection,
                   .m_arrived = net::event_loop::now()};
    if (full)
    {
        s.m_queue.emplace_back(id, std::move(run));
        return;
    }
    start_run(s, id, std::move(run));
}

void answer_probe(target_state& s, std::shared_ptr<target_exchange> exchange)
{
    ++s.m_counters["probes"];
    add_standstill(s, s.m_faults.m_probe_cost);
    bool const draining = value_at(s.m_health_history, s.m_faults.m_health_lag,
                                   s.m_faults.m_draining);
    bool const healthy = s.m_faults.m_health == "healthy" ||
                         (s.m_faults.m_health == "true" && !draining);
    auto const still = s.m_still_until - net::event_loop::now();
    s.m_tasks->run_after(
        still,
        [&s, healthy, draining, exchange = std::move(exchange)]
        {
            net::http_response_head head{healthy ? 200 : 503,
                                         status_headers(s)};
            net::remove_header(head.m_headers, "Hawthornspur-Draining");
            if (draining && s.m_faults.m_health == "true")
            {
                head.m_headers.emplace_back("Hawthornspur-Draining", "1");
            }
            exchange->reply(head, "");
        });
}

} // namespace hawthornspur::tools
