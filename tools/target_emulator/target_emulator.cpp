#include "target_emulator/target_emulator.hpp"

#include "net/event_loop.hpp"
#include "target_emulator/target_state.hpp"

#include <utility>

namespace hawthornspur::tools
{

namespace
{

void on_request(target_state& state, net::http_request request,
                std::shared_ptr<target_exchange> exchange,
                connection_record& connection)
{
    // Control requests also work on silent connections and cause no standstill.
    if (request.m_uri.starts_with("/control/"))
    {
        answer_control(state, request, *exchange);
        return;
    }
    if (connection.m_requests == 1)
    {
        add_standstill(state, state.m_faults.m_connection_cost);
    }
    if (request.m_uri == state.m_settings.m_health_path && !connection.m_silent)
    {
        answer_probe(state, std::move(exchange));
        return;
    }
    handle_request(state, std::move(request), std::move(exchange), connection);
}

} // namespace

target_emulator::target_emulator(std::unique_ptr<target_state> state)
    : m_state(std::move(state))
{
}

target_emulator::~target_emulator() = default;

std::uint16_t target_emulator::port() const noexcept
{
    return m_state->m_server->port();
}

std::uint16_t target_emulator::control_port() const noexcept
{
    return m_state->m_control_server->port();
}

void target_emulator::crash()
{
    crash_target(*m_state);
}

bool target_emulator::is_down() const noexcept
{
    return !m_state->m_server->is_open();
}

run_record const& target_emulator::runs() const noexcept
{
    return m_state->m_runs;
}

crash_record const& target_emulator::crashes() const noexcept
{
    return m_state->m_crashes;
}

void target_emulator::clear_runs()
{
    m_state->m_runs = {};
}

status target_emulator::change_faults(std::string const& text)
{
    auto changed = tools::change_faults(m_state->m_faults, text);
    if (has_value(changed))
    {
        auto const now = net::event_loop::now();
        m_state->m_faults_change_time = now;
        m_state->m_health_history.emplace_back(now,
                                               m_state->m_faults.m_draining);
    }
    return changed;
}

void target_emulator::set_group(std::vector<target_emulator*> group)
{
    m_state->m_group = std::move(group);
}

result<std::unique_ptr<target_emulator>>
target_emulator::create(net::event_loop& loop, target_settings const& settings)
{
    auto state = std::make_unique<target_state>();
    state->m_settings = settings;
    state->m_faults = settings.m_faults;
    state->m_faults_change_time = net::event_loop::now();
    // The initial state must precede any lag, even one that exceeds the uptime
    // of the machine.
    state->m_health_history.emplace_back(core::time_point::min(),
                                         settings.m_faults.m_draining);
    state->m_random.seed(settings.m_seed);
    auto tasks = scheduler::create(loop);
    if (!has_value(tasks))
    {
        return failure(tasks);
    }
    state->m_tasks = take(std::move(tasks));
    auto server = connection_server::create(
        loop,
        {.m_address = settings.m_address,
         .m_port = settings.m_port,
         .m_max_body_bytes = std::size_t{64} << 20U},
        [state_pointer = state.get()](net::http_request request,
                                      std::shared_ptr<target_exchange> exchange,
                                      connection_record& connection)
        {
            on_request(*state_pointer, std::move(request), std::move(exchange),
                       connection);
        },
        [state_pointer = state.get()]
        { ++state_pointer->m_counters["accepted"]; });
    if (!has_value(server))
    {
        return failure(server);
    }
    state->m_server = take(std::move(server));
    auto control_server = connection_server::create(
        loop, {.m_address = settings.m_address},
        [state_pointer =
             state.get()](net::http_request const& request,
                          std::shared_ptr<target_exchange> const& exchange,
                          connection_record& /*connection*/)
        { answer_control(*state_pointer, request, *exchange); },
        [] {});
    if (!has_value(control_server))
    {
        return failure(control_server);
    }
    state->m_control_server = take(std::move(control_server));
    std::unique_ptr<target_emulator> created(
        new target_emulator(std::move(state)));
    created->set_group({created.get()});
    return created;
}

} // namespace hawthornspur::tools
