#ifndef HAWTHORNSPUR_NET_ANSWER_VALIDATOR_HPP
#define HAWTHORNSPUR_NET_ANSWER_VALIDATOR_HPP

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// Checks the head of an answer before evhttp parses it, and removes interim
/// answers. evhttp takes a 103 for the final answer, and accepts heads whose
/// framing can be read in two ways.
class answer_validator
{
public:
    explicit answer_validator(std::size_t max_head_bytes);

    /// Starts over for the answer to the next request.
    void reset();

    /// Takes bytes and returns those that evhttp may read: nothing until the
    /// head is whole. After it every byte belongs to evhttp. Errors:
    /// target_answer_malformed.
    result<std::string> filter(std::string_view bytes);

    /// The final head was passed on.
    bool is_head_complete() const noexcept
    {
        return m_is_head_complete;
    }

    bool is_chunked() const noexcept
    {
        return m_is_chunked;
    }

    /// Looks at further bytes of a chunked body, which pass as they are. False
    /// when they are malformed.
    bool check_chunks(std::string_view bytes);

private:
    enum class chunk_phase : std::uint8_t
    {
        size,
        data,
        data_end,
        trailers,
        done,
    };
    bool end_line();

    bool m_is_chunked = false;
    chunk_phase m_phase = chunk_phase::size;
    std::uint64_t m_remaining = 0;
    /// The line that is being received.
    std::string m_line;
    std::size_t m_max_head_bytes;
    std::string m_raw;
    bool m_is_head_complete = false;
};

} // namespace hawthornspur::net

#endif
