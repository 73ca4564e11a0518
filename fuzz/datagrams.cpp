// Fuzzes the decoder of membership datagrams. Rules: no crash; a datagram that
// was changed after its tag was computed is rejected; a changed payload with a
// valid tag that decodes is still decodable after it is encoded again.

#include "byte_mutation.hpp"
#include "net/datagram_codec.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <string>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random numbers");
ABSL_FLAG(std::uint64_t, count, 100000, "number of cases");

namespace
{

using namespace hawthornspur;
using namespace hawthornspur::net;

constexpr auto tag_bytes = message_authenticator::truncated_bytes;

std::vector<std::string> make_valid_datagrams(datagram_codec& codec)
{
    core::host_record const record{"host-a",    "east",
                                   "127.0.0.1", 8080,
                                   9090,        0xFEDCBA9876543210U,
                                   3,           core::host_state::live,
                                   12,          77};
    using enum core::membership_message_kind;
    return {codec.encode({ping, 1, record, "", {}}),
            codec.encode({ping_request, 2, record, "host-b", {record}}),
            codec.encode({ack, 3, record, "host-c", {record, record}})};
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::ParseCommandLine(argument_count, arguments);
    auto const seed = absl::GetFlag(FLAGS_seed);
    auto const count = absl::GetFlag(FLAGS_count);
    fuzz::engine random(seed);
    datagram_codec codec("key");
    // Derives the key as the codec does, to compute valid tags for changed
    // payloads.
    message_authenticator key_derivation("key");
    auto const derived_key = key_derivation.tag({"hawthornspur datagram"});
    message_authenticator authenticator(full_view(derived_key));
    auto const valid = make_valid_datagrams(codec);
    std::uint64_t decoded = 0;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        auto const& original = valid[fuzz::random_below(random, valid.size())];
        auto const changed = fuzz::mutate(random, original, valid);
        fuzz::require_rule(changed == original ||
                               !has_value(codec.decode(changed)),
                           "a changed datagram is rejected", seed, i, changed);
        auto payload = fuzz::mutate(random, original.substr(tag_bytes), valid);
        auto const tag = authenticator.tag({payload});
        auto const message =
            codec.decode(std::string(truncated_view(tag)) + payload);
        if (has_value(message))
        {
            ++decoded;
            auto const encoded = codec.encode(value(message));
            auto const decoded_again = codec.decode(encoded);
            fuzz::require_rule(
                has_value(decoded_again) &&
                    codec.encode(value(decoded_again)) == encoded,
                "a decoded datagram survives encoding", seed, i, payload);
        }
    }
    fuzz::require_rule(decoded > 0 || count < 1000,
                       "at least one changed payload decodes", seed, count, "");
    std::printf("%llu cases, %llu decoded\n",
                static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(decoded));
    return 0;
}
