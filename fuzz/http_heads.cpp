// Fuzzes the checks that requests and answers pass before evhttp parses them.
// Rules: no crash; the result does not depend on how the input is split into
// reads, apart from where chunks of an answer end; output that passed the
// checks passes them again unchanged.

#include "byte_mutation.hpp"
#include "net/answer_validator.hpp"
#include "net/request_framer.hpp"
#include "serve/accept.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random numbers");
ABSL_FLAG(std::uint64_t, count, 100000, "number of cases");

namespace
{

using namespace hawthornspur;
using namespace hawthornspur::net;

constexpr std::size_t head_limit = 512;

std::string const chunked_head =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string const put_head =
    "PUT /%20?b=c HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n";

std::string const keyed_head =
    "GET /k HTTP/1.1\r\nAuthorization: Bearer key-0123456789abc\r\n";

std::vector<std::string> const requests{
    "GET /a HTTP/1.1\r\nHost: map\r\nAccept: */*\r\n\r\n",
    "POST /orders HTTP/1.1\r\nHost: orders\r\nContent-Length: 5\r\n\r\nhello",
    chunked_head + "5\r\nhello\r\n1;e=f\r\n!\r\n0\r\nT: 1\r\n\r\n",
    "OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\nConnection: X\r\nX: 1\r\n\r\n",
    put_head + "Content-Length: 1\r\n\r\nx",
    keyed_head + "Hawthornspur-Customer: plaza\r\n\r\n"};

std::vector<std::string> const answers{
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 404 No\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
    "0\r\n\r\n"};

/// The next request in canonical form; empty without one.
std::string take_bytes(request_framer& framer)
{
    auto const request = framer.take();
    return request ? to_bytes(request->m_head) + request->m_body
                   : std::string();
}

/// Returns the bytes that pass the request checks and the code of a refusal, or
/// ok. The input is added in random pieces of up to `max_piece` bytes.
std::pair<std::string, result_code> frame_request(fuzz::engine& random,
                                                  std::string const& input,
                                                  std::size_t max_piece)
{
    request_framer framer({.m_max_body_bytes = 64}, head_limit);
    std::string out;
    for (std::size_t position = 0; position < input.size();)
    {
        auto const piece = 1 + fuzz::random_below(random, max_piece);
        framer.add(std::string_view(input).substr(position, piece));
        position += piece;
        out += take_bytes(framer);
        while (!framer.refusal() && framer.is_request_in_flight())
        {
            framer.on_answered();
            out += take_bytes(framer);
        }
        if (framer.refusal())
        {
            return {out, framer.refusal()->m_code};
        }
    }
    return {out, result_code::ok};
}

std::vector<std::string> const credentials{"Bearer key-0123456789abc",
                                           "bearer  key-0123456789abc ",
                                           "Token key",
                                           "Bearer",
                                           " Bearer \t",
                                           "Basic YTpi"};

/// Whether a key that was read from the credentials is a part of them without
/// spaces at its ends, so that no other key is ever looked up.
bool is_key_valid(std::string const& text)
{
    auto const key = serve::read_access_key(text, "Bearer");
    return key.empty() ||
           (text.find(key) != std::string::npos && key.front() != ' ' &&
            key.back() != ' ' && key.size() < text.size());
}

/// Joins the chunks of an answer that passed the checks. What follows is the
/// end of the body, if it has one, and the bytes after it.
std::string join_chunks(std::string const& answer)
{
    auto position = answer.find("\r\n\r\n");
    if (position == std::string::npos)
    {
        return answer;
    }
    position += 4;
    auto joined = answer.substr(0, position);
    while (position < answer.size())
    {
        auto const line_end = answer.find("\r\n", position);
        auto const size = std::stoul(answer.substr(position), nullptr, 16);
        if (size == 0)
        {
            return joined + answer.substr(position);
        }
        joined += answer.substr(line_end + 2, size);
        position = line_end + 2 + size + 2;
    }
    return joined;
}

/// Appends the bytes that pass the answer checks to `out`, with the chunks of a
/// body joined. Returns false when the answer is rejected.
bool validate_answer(fuzz::engine& random, std::string const& input,
                     std::size_t max_piece, std::string& out)
{
    answer_validator validator(head_limit);
    for (std::size_t position = 0; position < input.size();)
    {
        auto const piece = 1 + fuzz::random_below(random, max_piece);
        auto const bytes = std::string_view(input).substr(position, piece);
        position += piece;
        if (validator.is_head_complete())
        {
            if (!validator.is_chunked())
            {
                out += bytes;
                continue;
            }
            auto const divided = validator.divide_chunks(bytes);
            if (!has_value(divided))
            {
                return false;
            }
            out += value(divided);
            continue;
        }
        auto const passed = validator.filter(bytes);
        if (!has_value(passed))
        {
            return false;
        }
        out += value(passed);
    }
    if (validator.is_head_complete() && validator.is_chunked())
    {
        out = join_chunks(out);
    }
    return true;
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::ParseCommandLine(argument_count, arguments);
    auto const seed = absl::GetFlag(FLAGS_seed);
    auto const count = absl::GetFlag(FLAGS_count);
    fuzz::engine random(seed);
    std::uint64_t accepted = 0;
    constexpr std::size_t max_whole_piece = 1U << 20U;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        auto const& original =
            requests[fuzz::random_below(random, requests.size())];
        auto const input = fuzz::mutate(random, original, requests);
        // Compares input in single bytes with input in random pieces.
        auto const bytewise = frame_request(random, input, 1);
        auto const pieces = frame_request(random, input, 40);
        fuzz::require_rule(bytewise == pieces,
                           "the split of a request does not change the output",
                           seed, i, input);
        if (!bytewise.first.empty())
        {
            ++accepted;
            auto const framed_again =
                frame_request(random, bytewise.first, max_whole_piece);
            fuzz::require_rule(framed_again.first == bytewise.first &&
                                   framed_again.second == result_code::ok,
                               "the output passes the checks unchanged", seed,
                               i, input);
        }
        auto const field = fuzz::mutate(
            random, credentials[fuzz::random_below(random, credentials.size())],
            credentials);
        fuzz::require_rule(is_key_valid(field),
                           "a key is a part of the credentials", seed, i,
                           field);
        auto const answer = fuzz::mutate(
            random, answers[fuzz::random_below(random, answers.size())],
            answers);
        std::string bytewise_output;
        std::string pieces_output;
        auto const is_bytewise_valid =
            validate_answer(random, answer, 1, bytewise_output);
        auto const is_valid_in_pieces =
            validate_answer(random, answer, 40, pieces_output);
        fuzz::require_rule(
            is_bytewise_valid == is_valid_in_pieces &&
                (!is_bytewise_valid || bytewise_output == pieces_output),
            "the split of an answer does not change the output", seed, i,
            answer);
    }
    std::printf("%llu cases, %llu with a request passed on\n",
                static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(accepted));
    return 0;
}
