// Throughput of a link and the delay of a small message beside a large body.
// Both hosts share one loop, so that the figures hold both sides' work.

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
        m_a = make("a", [](peer_message) {});
        m_b = make("b", [this](peer_message message)
                   { m_on_message(std::move(message)); });
        m_a->set_peers({{"b", "127.0.0.1", m_b->port()}});
        while (!m_a->is_linked("b"))
        {
            event_base_loop(m_loop->base(), EVLOOP_ONCE);
        }
    }

    std::unique_ptr<peer_network>
    make(std::string name, std::function<void(peer_message)> on_message) const
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
    std::size_t received = 0;
    hosts.m_on_message = [&](peer_message message)
    {
        received += std::get<body_chunk>(message).m_data.size();
    };
    for (auto _ : state)
    {
        received = 0;
        hosts.m_a->send("b", body_chunk{1, std::string(size, 'x')});
        hosts.run_until([&] { return received == size; });
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(size) *
                            static_cast<std::int64_t>(state.iterations()));
}
BENCHMARK(link_throughput)
    ->Arg(std::int64_t{64} << 20U)
    ->Unit(benchmark::kMillisecond);

/// With a body of the given size on the link; 0 is the baseline.
void small_message_delay(benchmark::State& state)
{
    pair_of_hosts hosts;
    auto const size = static_cast<std::size_t>(state.range(0));
    std::size_t received = 0;
    int arrived = 0;
    hosts.m_on_message = [&](peer_message message)
    {
        if (auto const* chunk = std::get_if<body_chunk>(&message))
        {
            received += chunk->m_data.size();
            return;
        }
        ++arrived;
    };
    forward_id id = 1;
    for (auto _ : state)
    {
        state.PauseTiming();
        if (size > 0 && hosts.m_a->queued_bytes("b") < size / 4)
        {
            hosts.m_a->send("b", body_chunk{1, std::string(size, 'x')});
            // The body shall be under way.
            auto const before = received;
            hosts.run_until([&] { return received > before + size / 8; });
        }
        arrived = 0;
        state.ResumeTiming();
        hosts.m_a->send("b", window_update{++id, 1});
        hosts.run_until([&] { return arrived == 1; });
    }
}
BENCHMARK(small_message_delay)
    ->Arg(0)
    ->Arg(std::int64_t{64} << 20U)
    ->Unit(benchmark::kMicrosecond);

} // namespace
