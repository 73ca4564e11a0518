// Measures time and memory allocations of an exchange over loopback between
// http_client and http_server, and with a plain evhttp server, which does not
// check heads.

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/socket_address.hpp"

#include <benchmark/benchmark.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <new>
#include <string>

namespace
{

std::size_t allocations = 0;

} // namespace

// Counts the allocations of C++ code. Those of libevent are counted through
// event_set_mem_functions.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocations;
    if (auto* memory = std::malloc(size))
    {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace
{

using namespace hawthornspur;
using namespace hawthornspur::net;

void count_libevent_allocations()
{
    event_set_mem_functions(
        [](std::size_t size)
        {
            ++allocations;
            return std::malloc(size);
        },
        [](void* memory, std::size_t size)
        {
            ++allocations;
            return std::realloc(memory, size);
        },
        [](void* memory) { std::free(memory); });
}

bool const is_counting = (count_libevent_allocations(), true);

void run_exchanges(benchmark::State& state, event_loop& loop,
                   std::uint16_t port)
{
    auto client = take(http_client::create(loop));
    http_request const request{"GET",
                               "/squares/17?artist=4711",
                               {{"Host", "bookings"},
                                {"Accept", "application/json"},
                                {"User-Agent", "plaza-phone/3.2"},
                                {"Hawthornspur-Deadline-Ms", "250"}},
                               ""};
    bool ended = false;
    auto const exchange_once = [&]
    {
        ended = false;
        client->send({"127.0.0.1", port}, request, {},
                     {.m_on_head = nullptr,
                      .m_on_data = nullptr,
                      .m_on_end = [&](exchange_outcome outcome)
                      {
                          ended = outcome == exchange_outcome::complete;
                      }});
        while (!ended)
        {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
    };
    exchange_once();
    auto const before = allocations;
    for (auto _ : state)
    {
        exchange_once();
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations - before) /
                           static_cast<double>(state.iterations()));
}

void exchange_with_bare_evhttp(benchmark::State& state)
{
    auto loop = take(event_loop::create());
    auto* server = evhttp_new(loop->base());
    evhttp_set_gencb(
        server,
        [](evhttp_request* request, void*)
        {
            auto* body = evbuffer_new();
            evbuffer_add(body, "answer", 6);
            evhttp_send_reply(request, 200, nullptr, body);
            evbuffer_free(body);
        },
        nullptr);
    auto* socket = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    auto const address = local_address(evhttp_bound_socket_get_fd(socket));
    run_exchanges(state, *loop, get_port(*address));
    evhttp_free(server);
}
BENCHMARK(exchange_with_bare_evhttp)->Unit(benchmark::kMicrosecond);

void exchange_with_checks(benchmark::State& state)
{
    auto loop = take(event_loop::create());
    auto server = take(http_server::create(
        *loop, {.m_address = "127.0.0.1"},
        [](http_request, std::shared_ptr<http_exchange> exchange) {
            exchange->reply({200, {}}, "answer");
        }));
    run_exchanges(state, *loop, server->port());
}
BENCHMARK(exchange_with_checks)->Unit(benchmark::kMicrosecond);

} // namespace
