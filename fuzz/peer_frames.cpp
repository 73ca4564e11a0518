// Fuzzes the decoders of messages, fragments, handshakes and frames of the peer
// protocol. Rules: no crash; a message that decodes is still decodable after it
// is encoded again; a changed frame is rejected.

#include "byte_mutation.hpp"
#include "net/frame_codec.hpp"
#include "net/message_fragment.hpp"
#include "net/peer_handshake.hpp"
#include "net/peer_messages.hpp"

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

std::vector<std::string> make_valid_messages()
{
    using std::chrono::milliseconds;
    std::vector<std::string> messages;
    for (peer_message const& message : std::vector<peer_message>{
             forward_request{7,
                             forward_purpose::to_home,
                             "orders",
                             "east",
                             "place",
                             12,
                             milliseconds(250),
                             "h.1.2.3.4",
                             1,
                             2,
                             "POST",
                             "/orders?x=1",
                             {{"Host", "orders"}},
                             99},
             body_chunk{7, "body"},
             answer_head{7, {200, {{"Content-Type", "text/plain"}}}, 42},
             answer_chunk{7, "answer"},
             answer_end{7},
             refusal{7, result_code::queue_full},
             cancel_request{7},
             window_update{7, 65536},
             pool_summary_message{"map", "west", 3, 18, 5, milliseconds(4)},
             configuration_request{12},
             configuration_reply{12, "{}"},
             handover_message{"map", "west", {{"t1", 2, 2.5}}},
             target_leaving{"map", "t1"},
             rate_limits_message{"map", "west", {{"t1", 1.5}}},
             crash_suspects_message{
                 {{{77}, {{5, milliseconds(3), 0.5}}, milliseconds(9)}}},
             quota_request{5, {{"harbour", 4, 2, 1}}},
             quota_grant{5, {{"harbour", 4, milliseconds(8)}}},
             configuration_proof_request{5},
             configuration_proof_message{5, 12, milliseconds(900)},
             evacuated_zones_message{2, 1700, {"east", "west"}}})
    {
        messages.push_back(encode(message));
    }
    messages.push_back(encode_fragment({1, false, "part"}));
    messages.push_back(
        encode_hello({"a", 1, std::string(nonce_bytes, 'n'), "b", 3}));
    messages.push_back(encode_proof(std::string(32, 'p')));
    return messages;
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::ParseCommandLine(argument_count, arguments);
    auto const seed = absl::GetFlag(FLAGS_seed);
    auto const count = absl::GetFlag(FLAGS_count);
    fuzz::engine random(seed);
    auto const valid = make_valid_messages();
    std::uint64_t decoded = 0;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        auto const& original = valid[fuzz::random_below(random, valid.size())];
        auto const input = fuzz::mutate(random, original, valid);
        auto const message = decode(input);
        if (has_value(message))
        {
            ++decoded;
            auto const encoded = encode(value(message));
            auto const decoded_again = decode(encoded);
            fuzz::require_rule(has_value(decoded_again) &&
                                   encode(value(decoded_again)) == encoded,
                               "a decoded message survives encoding", seed, i,
                               input);
        }
        fragment_assembler assembler(1000);
        auto const fragment = decode_fragment(input);
        if (has_value(fragment))
        {
            assembler.add(value(fragment));
        }
        decode_hello(input);
        decode_proof(input);
        std::string frame;
        frame_sealer("key").append(frame, original);
        auto const body = frame.substr(frame_length_bytes);
        auto const changed = fuzz::mutate(random, body, valid);
        fuzz::require_rule(changed == body ||
                               !has_value(frame_opener("key").open(changed)),
                           "a changed frame is rejected", seed, i, changed);
        fuzz::require_rule(has_value(frame_opener("key").open(body)),
                           "an unchanged frame is accepted", seed, i, body);
    }
    std::printf("%llu cases, %llu decoded\n",
                static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(decoded));
    return 0;
}
