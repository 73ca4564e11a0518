#ifndef HAWTHORNSPUR_NET_REQUEST_FRAMER_HPP
#define HAWTHORNSPUR_NET_REQUEST_FRAMER_HPP

#include "base/result.hpp"
#include "net/request_head.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// A validated request with its whole body, whose length is that of the head.
struct framed_request
{
    request_head m_head;
    std::string m_body;
};

/// Splits the bytes of a connection into requests and returns them one at a
/// time. evhttp itself is lenient with framing, reads no body for some methods
/// and answers some faults without a result code.
class request_framer
{
public:
    request_framer(request_head_limits limits, std::size_t max_head_bytes);

    /// Adds bytes from the caller, in pieces of any size.
    void add(std::string_view bytes);

    /// Returns the next request. Nothing while an earlier request is in flight
    /// or the request is incomplete; check refusal() then. Precondition: no
    /// refusal().
    std::optional<framed_request> take();

    /// Returns true once if the caller waits for "100 Continue" before it sends
    /// the body.
    bool take_continue() noexcept;

    /// Must be called when the answer to the request in flight has been sent.
    /// take() may return the next request afterwards.
    void on_answered();

    /// Why a request was refused. The connection must be closed then, since the
    /// start of the next request is unknown.
    std::optional<error> const& refusal() const noexcept
    {
        return m_refusal;
    }

    /// Received bytes that have not been parsed.
    std::size_t pending_bytes() const noexcept
    {
        return m_raw.size();
    }
    bool is_request_in_flight() const noexcept
    {
        return m_phase == phase::in_flight;
    }
    /// A request has been received in part.
    bool has_partial_request() const noexcept
    {
        return m_phase != phase::in_flight &&
               (m_phase != phase::head || !m_raw.empty());
    }

private:
    enum class phase : std::uint8_t
    {
        head,
        sized_body,
        chunk_size,
        chunk_data,
        chunk_end,
        trailers,
        in_flight,
    };

    /// Parses the next element. False if bytes are missing or the request is
    /// refused.
    bool step();
    bool take_head();
    /// Moves up to m_remaining_bytes to the body. True if none are missing.
    bool take_body();
    bool take_sized_body();
    bool take_chunk_size();
    bool take_chunk_data();
    bool take_chunk_end();
    bool take_trailer();
    void complete();
    /// Returns the line at the start of the raw bytes, with its line end. Empty
    /// if the line is incomplete. Refuses bare line feeds, and lines above the
    /// limit with the code `too_long`.
    std::string_view peek_line(std::size_t limit, result_code too_long);
    void discard(std::size_t count);
    /// Records a refusal and returns false.
    bool refuse(result_code code, std::string message);

    request_head_limits m_limits;
    std::size_t m_max_head_bytes;
    phase m_phase = phase::head;
    std::string m_raw;
    /// Bytes of m_raw that have been searched for the end of the head.
    std::size_t m_scanned = 0;
    bool m_has_skipped_line = false;
    std::uint64_t m_remaining_bytes = 0;
    request_head m_head;
    std::string m_body;
    bool m_is_ready = false;
    bool m_expects_continue = false;
    std::size_t m_trailer_bytes = 0;
    std::optional<error> m_refusal;
};

} // namespace hawthornspur::net

#endif
