#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_REQUEST_RECORD_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_REQUEST_RECORD_HPP

#include "core/time.hpp"
#include "net/http_message.hpp"
#include <hawthornspur/result_code.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::tools
{

/// Outcome of a request sent by the generator.
enum class request_outcome : std::uint8_t
{
    /// Still pending when the generator stopped.
    lost,
    /// Complete answer to this request with a 2xx status.
    answered,
    /// Answer of the service with another status.
    error_status,
    /// Refused or failed; m_execution states whether the request ran.
    failed,
    /// Delivered as complete, but the checksum does not match.
    partial,
    /// Answer to another request.
    foreign,
};

/// Result of one request.
struct request_record
{
    request_outcome m_outcome = request_outcome::lost;
    execution m_execution = execution::unknown;
    std::uint16_t m_code = 0;
    std::uint16_t m_status = 0;
    std::uint16_t m_attempts = 0;
    /// Measured from the planned arrival, so that a delay in the generator
    /// increases the latency instead of hiding it.
    core::duration m_latency{0};
    /// Delay between the planned arrival and sending.
    core::duration m_send_lag{0};
};

/// Classifies an answer that was delivered as complete by its id, checksum and
/// status.
request_outcome check_answer(std::string_view request_id, int status,
                             net::http_headers const& headers,
                             std::string_view body);

/// Returns the id of a request, unique if each run has its own run id.
std::string make_request_id(std::string const& run_id, std::size_t index);

} // namespace hawthornspur::tools

#endif
