// Measures the throughput of a link and the delay of a small message while a
// large body is in transfer. Both hosts share one event loop; the figures
// include the work of both.

#include "net/event_loop.hpp"
#include "net/peer_network.hpp"

#include <benchmark/benchmark.h>
#include <event2/event.h>

#include <memory>
#include <string>

namespace
{

using namespace hawthornspur;
using namespace hawthornspur::net;

struct pair_of_hosts
{
    pair_of_hosts()
    {
        m_loop = take(event_loop::create());
        m_a = make_network("a", [](peer_message) {});
        m_b = make_network("b", [this](peer_message message)
                           { m_on_message(std::move(message)); });
        m_a->set_peers({{"b", "127.0.0.1", m_b->port()}});
        while (!m_a->is_linked("b"))
        {
            event_base_loop(m_loop->base(), EVLOOP_ONCE);
        }
    }

    std::unique_ptr<peer_network>
    make_network(std::string name,
                 std::function<void(peer_message)> on_message) const
    {
        return take(peer_network::create(
            *m_loop,
            {.m_host = std::move(name),
             .m_address = "127.0.0.1",
             .m_key = "key",
             .m_max_queued_bytes = std::size_t{256} << 20U},
            {.m_on_message =
                 [on_message](std::string const&, peer_message message)
             { on_message(std::move(message)); },
             .m_on_link_up = nullptr,
             .m_on_link_down = nullptr,
             .m_on_datagram = nullptr}));
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        while (!condition())
        {
            event_base_loop(m_loop->base(), EVLOOP_ONCE);
        }
    }

    std::unique_ptr<event_loop> m_loop;
    std::function<void(peer_message)> m_on_message = [](peer_message) {
    };
    std::unique_ptr<peer_network> m_a;
    std::unique_ptr<peer_network> m_b;
};

void link_throughput(benchmark::State& state)
{
    pair_of_hosts hosts;
    auto const size = static_cast<std::size_t>(state.range(0));
    std::size_t received_bytes = 0;
    hosts.m_on_message = [&](peer_message message)
    {
        received_bytes += std::get<body_chunk>(message).m_data.size();
    };
    for (auto _ : state)
    {
        received_bytes = 0;
        hosts.m_a->send("b", body_chunk{1, std::string(size, 'x')});
        hosts.run_until([&] { return received_bytes == size; });
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(size) *
                            static_cast<std::int64_t>(state.iterations()));
}
BENCHMARK(link_throughput)
    ->Arg(std::int64_t{64} << 20U)
    ->Unit(benchmark::kMillisecond);

/// The argument is the size of the body in transfer; 0 is the baseline.
void small_message_delay(benchmark::State& state)
{
    pair_of_hosts hosts;
    auto const size = static_cast<std::size_t>(state.range(0));
    std::size_t received_bytes = 0;
    int received_updates = 0;
    hosts.m_on_message = [&](peer_message message)
    {
        if (auto const* chunk = std::get_if<body_chunk>(&message))
        {
            received_bytes += chunk->m_data.size();
            return;
        }
        ++received_updates;
    };
    forward_id id = 1;
    for (auto _ : state)
    {
        state.PauseTiming();
        if (size > 0 && hosts.m_a->queued_bytes("b") < size / 4)
        {
            hosts.m_a->send("b", body_chunk{1, std::string(size, 'x')});
            // Waits until the transfer of the body has started.
            auto const before = received_bytes;
            hosts.run_until([&] { return received_bytes > before + size / 8; });
        }
        received_updates = 0;
        state.ResumeTiming();
        hosts.m_a->send("b", window_update{++id, 1});
        hosts.run_until([&] { return received_updates == 1; });
    }
}
BENCHMARK(small_message_delay)
    ->Arg(0)
    ->Arg(std::int64_t{64} << 20U)
    ->Unit(benchmark::kMicrosecond);

} // namespace
