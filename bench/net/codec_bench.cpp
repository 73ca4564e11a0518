// Measures encoding and decoding of messages, with a copy of the bytes as the
// baseline.

#include "net/datagram_codec.hpp"
#include "net/frame_codec.hpp"
#include "net/peer_messages.hpp"
#include "net/peer_wire.hpp"
#include "net/request_framer.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace
{

using namespace hawthornspur;
using namespace hawthornspur::net;

forward_request typical_request()
{
    return {7,
            forward_purpose::to_owner,
            "bookings",
            "east",
            "claim-square",
            12,
            std::chrono::milliseconds(250),
            "host-a.0123456789abcdef.17.0123456789abcdef.3",
            0,
            1,
            "POST",
            "/squares/17/claim?artist=4711",
            {{"Host", "bookings"},
             {"Accept", "application/json"},
             {"Content-Type", "application/json"},
             {"User-Agent", "plaza-phone/3.2"}},
            180};
}

core::membership_message typical_datagram(std::size_t updates)
{
    core::host_record const record{
        "entry-east-07",     "east", "10.17.3.107",          8080, 9090,
        0xFEDCBA9876543210U, 3,      core::host_state::live, 12,   77};
    return {core::membership_message_kind::ping, 99, record, "",
            std::vector<core::host_record>(updates, record)};
}

void copy_bytes(benchmark::State& state)
{
    std::string const bytes(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto _ : state)
    {
        std::string copy(bytes);
        benchmark::DoNotOptimize(copy.data());
    }
}
BENCHMARK(copy_bytes)->Arg(300)->Arg(chunk_bytes);

void encode_request(benchmark::State& state)
{
    peer_message const message = typical_request();
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(encode(message));
    }
    state.counters["bytes"] = static_cast<double>(encode(message).size());
}
BENCHMARK(encode_request);

void decode_request(benchmark::State& state)
{
    auto const bytes = encode(typical_request());
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(decode(bytes));
    }
}
BENCHMARK(decode_request);

void encode_chunk(benchmark::State& state)
{
    std::string const body(chunk_bytes, 'x');
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(encode_body_chunk(7, body));
    }
}
BENCHMARK(encode_chunk);

void decode_chunk(benchmark::State& state)
{
    auto const bytes = encode_body_chunk(7, std::string(chunk_bytes, 'x'));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(decode(bytes));
    }
}
BENCHMARK(decode_chunk);

void seal_and_open_frame(benchmark::State& state)
{
    frame_sealer sealer("key");
    frame_opener opener("key");
    std::string const message(static_cast<std::size_t>(state.range(0)), 'x');
    std::string frame;
    for (auto _ : state)
    {
        frame.clear();
        sealer.append(frame, message);
        benchmark::DoNotOptimize(
            opener.open(std::string_view(frame).substr(frame_length_bytes)));
    }
}
BENCHMARK(seal_and_open_frame)->Arg(300)->Arg(chunk_bytes);

void encode_and_decode_datagram(benchmark::State& state)
{
    datagram_codec codec("key");
    auto const message =
        typical_datagram(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(codec.decode(codec.encode(message)));
    }
    state.counters["bytes"] = static_cast<double>(codec.encode(message).size());
}
BENCHMARK(encode_and_decode_datagram)->Arg(0)->Arg(6);

void check_request_head(benchmark::State& state)
{
    std::string const bytes =
        "GET /squares/17?artist=4711 HTTP/1.1\r\nHost: bookings\r\n"
        "Accept: application/json\r\nUser-Agent: plaza-phone/3.2\r\n"
        "Hawthornspur-Deadline-Ms: 250\r\n\r\n";
    request_framer framer({}, std::size_t{32} << 10U);
    for (auto _ : state)
    {
        framer.add(bytes);
        benchmark::DoNotOptimize(framer.take());
        framer.on_answered();
    }
}
BENCHMARK(check_request_head);

} // namespace
