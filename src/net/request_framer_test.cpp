#include "net/http_refusal.hpp"
#include "net/request_framer.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace hawthornspur::net
{

namespace
{

constexpr std::size_t head_limit = 1024;
constexpr request_head_limits limits{.m_max_request_target_bytes = 256,
                                     .m_max_headers = 16,
                                     .m_max_body_bytes = 1000};

struct framer_output
{
    std::string m_bytes;
    result_code m_code = result_code::ok;
    bool m_is_complete = false;
};

/// The next request in canonical form; empty without one.
std::string take_bytes(request_framer& framer)
{
    auto const request = framer.take();
    return request ? to_bytes(request->m_head) + request->m_body
                   : std::string();
}

framer_output frame(std::string const& input,
                    std::size_t piece = std::string::npos)
{
    request_framer framer(limits, head_limit);
    framer_output output;
    for (std::size_t offset = 0; offset < input.size() && !framer.refusal();)
    {
        auto const part = std::string_view(input).substr(offset, piece);
        framer.add(part);
        offset += part.size();
        output.m_bytes += take_bytes(framer);
    }
    if (framer.refusal())
    {
        output.m_code = framer.refusal()->m_code;
    }
    output.m_is_complete = framer.is_request_in_flight();
    return output;
}

std::string get(std::string const& headers)
{
    return "GET / HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

std::string chunked(std::string const& body)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
           body;
}

} // namespace

// Guards against requests that a target could parse differently than the
// balancer. Each row is a known form of request smuggling or an invalid head.
TEST_CASE("ambiguous and malformed requests are refused")
{
    using enum result_code;
    struct row
    {
        char const* m_case;
        std::string m_bytes;
        result_code m_code;
    };
    auto const long_text = std::string(head_limit, 'x');
    auto const rows = std::vector<row>{
        {"two lengths", get("Content-Length: 1\r\nContent-Length: 2\r\n"),
         ambiguous_framing},
        {"the same length twice",
         get("Content-Length: 1\r\nContent-Length: 1\r\n"), ambiguous_framing},
        {"list of lengths", get("Content-Length: 1, 1\r\n"), ambiguous_framing},
        {"negative length", get("Content-Length: -1\r\n"), ambiguous_framing},
        {"signed length", get("Content-Length: +1\r\n"), ambiguous_framing},
        {"hexadecimal length", get("Content-Length: 0x1\r\n"),
         ambiguous_framing},
        {"empty length", get("Content-Length:\r\n"), ambiguous_framing},
        {"length beyond 64 bits",
         get("Content-Length: 99999999999999999999\r\n"), ambiguous_framing},
        {"length above the cap", get("Content-Length: 1001\r\n"),
         body_too_large},
        {"length and chunked",
         get("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"),
         ambiguous_framing},
        {"chunked twice",
         get("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
         ambiguous_framing},
        {"chunked after another coding",
         get("Transfer-Encoding: gzip, chunked\r\n"), ambiguous_framing},
        {"coding that looks like chunked",
         get("Transfer-Encoding: xchunked\r\n"), ambiguous_framing},
        {"identity coding", get("Transfer-Encoding: identity\r\n"),
         ambiguous_framing},
        {"space before the colon of the coding",
         get("Transfer-Encoding : chunked\r\n"), malformed_request},
        {"bare line feed after the request line",
         "GET / HTTP/1.1\nHost: a\r\n\r\n", ambiguous_framing},
        {"bare line feed after a header",
         "GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n", ambiguous_framing},
        {"bare line feed before anything", "\nGET / HTTP/1.1\r\n",
         ambiguous_framing},
        {"bare carriage return in a value", get("X: a\rContent-Length: 1\r\n"),
         malformed_request},
        {"zero byte in a value", get(std::string("X: a\0b\r\n", 8)),
         malformed_request},
        {"control character in a value",
         get("X: a\x01"
             "b\r\n"),
         malformed_request},
        {"control character in a name", get("X\x01: b\r\n"), malformed_request},
        {"space in a name", get("X Y: b\r\n"), malformed_request},
        {"empty name", get(": b\r\n"), malformed_request},
        {"line without colon", get("nonsense\r\n"), malformed_request},
        {"folded line", get("X: a\r\n b\r\n"), malformed_request},
        {"first header folded", "GET / HTTP/1.1\r\n Host: a\r\n\r\n",
         malformed_request},
        {"no host", "GET / HTTP/1.1\r\n\r\n", malformed_request},
        {"two hosts", get("Host: b\r\n"), malformed_request},
        {"host with a path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n",
         malformed_request},
        {"Connection names Host", get("Connection: Host\r\n"),
         malformed_request},
        {"Connection names the key", get("Connection: Hawthornspur-Key\r\n"),
         malformed_request},
        {"Connection names the length",
         get("Connection: close, content-length\r\n"), malformed_request},
        {"Connection names no header", get("Connection: a b\r\n"),
         malformed_request},
        {"unknown expectation", get("Expect: miracles\r\n"), malformed_request},
        {"HTTP/1.0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", malformed_request},
        {"HTTP/2.0", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", malformed_request},
        {"HTTP/1.10", "GET / HTTP/1.10\r\nHost: a\r\n\r\n", malformed_request},
        {"no version", "GET /\r\nHost: a\r\n\r\n", malformed_request},
        {"two spaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", malformed_request},
        {"tab for a space", "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"space at the end", "GET / HTTP/1.1 \r\nHost: a\r\n\r\n",
         malformed_request},
        {"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"absolute target", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"target with two slashes", "GET //b/c HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"target without slash", "GET a HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"fragment in the target", "GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"bad escape", "GET /%4x HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"cut escape", "GET /%4 HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"non-ASCII target", "GET /\xC3\xA9 HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"star with GET", "GET * HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
         malformed_request},
        {"unknown method", "BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
         method_not_allowed},
        {"lower-case method", "get / HTTP/1.1\r\nHost: a\r\n\r\n",
         method_not_allowed},
        {"target above the limit",
         "GET /" + std::string(256, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n",
         headers_too_large},
        {"endless request line", "GET /" + long_text, headers_too_large},
        {"headers above the limit", get("X: " + long_text + "\r\n"),
         headers_too_large},
        {"too many headers",
         get("A:\r\nB:\r\nC:\r\nD:\r\nE:\r\nF:\r\nG:\r\nH:\r\nI:\r\nJ:\r\n"
             "K:\r\nL:\r\nM:\r\nN:\r\nO:\r\nP:\r\n"),
         headers_too_large},
        {"empty lines before a request", "\r\n\r\n" + get(""),
         malformed_request},
        {"TLS", "\x16\x03\x01\x02\x01\x01\n", ambiguous_framing},
        {"chunk size with a prefix", chunked("0x1\r\na\r\n0\r\n\r\n"),
         ambiguous_framing},
        {"negative chunk size", chunked("-1\r\na\r\n"), ambiguous_framing},
        {"chunk size with spaces", chunked("1 \r\na\r\n"), ambiguous_framing},
        {"empty chunk size", chunked("\r\n"), ambiguous_framing},
        {"chunk size beyond 32 bits", chunked("100000000\r\n"),
         ambiguous_framing},
        {"chunk size that wraps", chunked("fffffffffffffffff\r\n"),
         ambiguous_framing},
        {"chunk above the cap", chunked("3e9\r\n"), body_too_large},
        {"chunks above the cap together",
         chunked("3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\n"),
         body_too_large},
        {"chunk longer than its size", chunked("1\r\nab\r\n"),
         ambiguous_framing},
        {"bare line feed after a chunk size", chunked("1\na\r\n"),
         ambiguous_framing},
        {"bare line feed after a chunk", chunked("1\r\na\n0\r\n\r\n"),
         ambiguous_framing},
        {"control character in a chunk extension", chunked("1;\x01\r\na\r\n"),
         ambiguous_framing},
        {"endless chunk extension", chunked("1;" + long_text),
         ambiguous_framing},
        {"endless trailers", chunked("0\r\nX: " + long_text),
         headers_too_large},
        {"bare line feed in the trailers", chunked("0\r\nX: y\n\r\n"),
         ambiguous_framing},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        CHECK(frame(row.m_bytes).m_code == row.m_code);
        // The result must not depend on the pieces in which the bytes arrive.
        CHECK(frame(row.m_bytes, 1).m_code == row.m_code);
    }
}

// Guards against refusing or altering valid requests, and against hop-by-hop
// headers that reach a target.
TEST_CASE("valid requests are passed on in canonical form")
{
    struct row
    {
        std::string m_bytes;
        std::string m_passed;
    };
    auto const rows = std::vector<row>{
        {get(""), "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
        {"\r\n" + get(""),
         "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
        {"POST /a?b=%20c&d[]=1 HTTP/1.1\r\nhost:a\r\ncontent-length: 3 "
         "\r\n\r\nabc",
         "POST /a?b=%20c&d[]=1 HTTP/1.1\r\nhost: a\r\nContent-Length: "
         "3\r\n\r\nabc"},
        {"OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
         "OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\nContent-Length: 0\r\n\r\n"},
        {get("Connection: keep-alive, X-Hop, Close\r\nX-Hop: 1\r\nX-End: "
             "2\r\nTE: trailers\r\nUpgrade: h2c\r\n"),
         "GET / HTTP/1.1\r\nHost: a\r\nX-End: 2\r\nContent-Length: "
         "0\r\nConnection: close\r\n\r\n"},
        {chunked("3;name=value\r\nabc\r\n0a\r\n0123456789\r\n000\r\nX-Trailer: "
                 "1\r\n\r\n"),
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
         "13\r\n\r\nabc0123456789"},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_bytes);
        auto const whole = frame(row.m_bytes);
        CHECK(whole.m_code == result_code::ok);
        CHECK(whole.m_bytes == row.m_passed);
        CHECK(whole.m_is_complete);
        CHECK(frame(row.m_bytes, 1).m_is_complete);
        // The canonical form is valid and passes unchanged.
        CHECK(frame(row.m_passed).m_bytes == row.m_passed);
    }
}

// Guards against passing a second request to evhttp before the first one is
// answered, and against losing it.
TEST_CASE("a pipelined request is held until the one before it is answered")
{
    request_framer framer(limits, head_limit);
    auto const first = get("X: 1\r\n");
    auto const second = get("X: 2\r\n");
    framer.add(first + second + "GARBAGE\n");
    CHECK(take_bytes(framer).find("X: 1") != std::string::npos);
    CHECK(!framer.take());
    framer.on_answered();
    CHECK(take_bytes(framer).find("X: 2") != std::string::npos);
    CHECK(!framer.refusal());
    framer.on_answered();
    framer.take();
    CHECK(framer.refusal());
}

// Guards against a result that depends on the TCP segments of a request.
TEST_CASE("a request is accepted in pieces of any size")
{
    CHECK(rc::check(
        []
        {
            std::string body;
            auto const chunks = *rc::gen::inRange(0, 4);
            for (int i = 0; i < chunks; ++i)
            {
                auto const size = *rc::gen::inRange(1, 10);
                body += std::to_string(size) + "\r\n" +
                        std::string(static_cast<std::size_t>(size), 'x') +
                        "\r\n";
            }
            auto const bytes = chunked(body + "0\r\n\r\n");
            auto const piece = *rc::gen::inRange<std::size_t>(1, bytes.size());
            auto const output = frame(bytes, piece);
            RC_ASSERT(output.m_is_complete);
            RC_ASSERT(output.m_code == result_code::ok);
        }));
}

// Guards against a code whose refusal is not valid JSON or lacks a header.
TEST_CASE("refusals carry the code, the outcome and valid JSON")
{
    for (auto const& row : result_code_table())
    {
        if (row.m_http_status == 0)
        {
            continue;
        }
        auto const refusal = make_refusal(row.m_code);
        auto const body = nlohmann::json::parse(refusal.m_body);
        CHECK(body["code"] == static_cast<unsigned>(row.m_code));
        CHECK(body["name"] == std::string(row.m_name));
        CHECK(body["message"] == std::string(row.m_meaning));
        CHECK(find_header(refusal.m_head.m_headers, "Hawthornspur-Outcome") ==
              to_string(row.m_execution));
    }
}

} // namespace hawthornspur::net
