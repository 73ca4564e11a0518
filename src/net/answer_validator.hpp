#ifndef HAWTHORNSPUR_NET_ANSWER_VALIDATOR_HPP
#define HAWTHORNSPUR_NET_ANSWER_VALIDATOR_HPP

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// Whether the text contains the start of an answer, such as "HTTP/1.1 200". A
/// target that breaks off in a line and starts again writes one, and would lend
/// the lines before it to the second answer. "HTTP/1.1" alone is usual in Via.
bool contains_status_line(std::string_view text);

/// Validates an answer before evhttp parses it, removes interim answers,
/// divides a chunked body anew and simplifies the Connection header of an
/// answer without a length. evhttp treats a 103 as the final answer, accepts
/// heads with ambiguous framing, keeps a chunk until it is complete and all
/// trailers, whatever their size, and takes some answers for empty.
class answer_validator
{
public:
    explicit answer_validator(std::size_t max_head_bytes);

    /// Prepares for the answer to the next request.
    void reset();

    /// Adds received bytes and returns the bytes to pass to evhttp: none until
    /// the final head is complete, then the head and the bytes after it. Later
    /// bytes go to evhttp without this call, except those of a chunked body.
    /// Errors: target_answer_malformed.
    result<std::string> filter(std::string_view bytes);

    /// filter() has returned the final head.
    bool is_head_complete() const noexcept
    {
        return m_is_head_complete;
    }

    bool is_chunked() const noexcept
    {
        return m_is_chunked;
    }

    /// Returns the same part of the body in chunks that end with the received
    /// bytes, without extensions and trailers. Bytes after the end of the body
    /// are returned unchanged. Errors: target_answer_malformed.
    result<std::string> divide_chunks(std::string_view bytes);

private:
    enum class chunk_phase : std::uint8_t
    {
        size,
        data,
        data_end,
        trailers,
        done,
    };
    /// Interprets m_line as the next line of the chunked coding. False if it is
    /// malformed.
    bool process_line();

    bool m_is_chunked = false;
    chunk_phase m_phase = chunk_phase::size;
    std::uint64_t m_remaining_bytes = 0;
    /// The line received so far.
    std::string m_line;
    std::size_t m_max_head_bytes;
    std::string m_raw;
    bool m_is_head_complete = false;
};

} // namespace hawthornspur::net

#endif
