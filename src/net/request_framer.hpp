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

/// Stands between a connection and evhttp: takes raw bytes in any pieces and
/// passes on one whole request at a time in an unambiguous form. evhttp is
/// lenient with framing, and answers some faults by itself without a result
/// code.
class request_framer
{
public:
    request_framer(request_head_limits limits, std::size_t max_head_bytes);

    /// Adds bytes from the caller.
    void add(std::string_view bytes);

    /// The next request when it is whole, with a Content-Length however its
    /// body was sent; empty while an earlier request is in flight or more
    /// bytes are needed. Precondition: no refusal().
    std::string take();

    /// True once when the caller waits for "100 Continue" before it sends the
    /// body.
    bool take_continue() noexcept;

    /// The answer to the request was sent; the next one may be taken.
    void on_answered();

    /// Why the request is refused. Then the connection is of no use any more,
    /// since nobody knows where the next request starts.
    std::optional<error> const& refusal() const noexcept
    {
        return m_refusal;
    }

    /// Bytes that wait for an answer to an earlier request.
    std::size_t held_bytes() const noexcept
    {
        return m_raw.size();
    }
    bool is_request_in_flight() const noexcept
    {
        return m_phase == phase::in_flight;
    }
    /// Part of a request has arrived.
    bool is_within_request() const noexcept
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

    bool step();
    bool take_head();
    /// Moves bytes to the body; true when none are missing.
    bool take_body();
    bool take_sized_body();
    bool take_chunk_size();
    bool take_chunk_data();
    bool take_chunk_end();
    bool take_trailer();
    void complete();
    /// The line at the start of the raw bytes, with its end; empty when it is
    /// not whole. Refuses bare line feeds and lines above the limit.
    std::string_view peek_line(std::size_t limit, result_code too_long);
    void drop(std::size_t count);
    bool refuse(result_code code, std::string message);

    request_head_limits m_limits;
    std::size_t m_max_head_bytes;
    phase m_phase = phase::head;
    std::string m_raw;
    /// Bytes of m_raw that were checked for the end of the head.
    std::size_t m_scanned = 0;
    bool m_skipped_line = false;
    std::uint64_t m_remaining = 0;
    request_head m_head;
    std::string m_body;
    bool m_is_ready = false;
    bool m_wants_continue = false;
    std::size_t m_trailer_bytes = 0;
    std::optional<error> m_refusal;
};

} // namespace hawthornspur::net

#endif
