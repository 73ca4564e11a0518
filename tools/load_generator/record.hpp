#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_RECORD_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_RECORD_HPP

#include "core/time.hpp"
#include "net/http_message.hpp"
#include <hawthornspur/result_code.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::tools
{

/// How a request of the generator ended.
enum class request_end : std::uint8_t
{
    /// No end until the generator stopped waiting.
    lost,
    /// A whole answer to this request with a status of 2xx.
    answered,
    /// The service's own answer with another status.
    error_status,
    /// Refused or failed; the record says what is known about its execution.
    failed,
    /// Delivered as whole, but the checksum differs.
    partial,
    /// The answer to another request.
    foreign,
};

/// What the generator keeps of each request.
struct request_record
{
    request_end m_end = request_end::lost;
    execution m_execution = execution::unknown;
    std::uint16_t m_code = 0;
    std::uint16_t m_status = 0;
    std::uint16_t m_attempts = 0;
    /// From the planned arrival, so that a late generator counts against the
    /// result.
    core::duration m_latency{0};
    /// How late the generator sent it.
    core::duration m_lag{0};
};

/// Checks an answer that was delivered as whole against the request's id.
request_end check_answer(std::string_view request_id, int status,
                         net::http_headers const& headers,
                         std::string_view body);

/// Id of a request; ids of different runs differ.
std::string make_request_id(std::string const& run, std::size_t index);

} // namespace hawthornspur::tools

#endif
