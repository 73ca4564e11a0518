#ifndef HAWTHORNSPUR_TOOLS_COMMON_ANSWER_CHECK_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_ANSWER_CHECK_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornspur::tools
{

/// Headers with which the load generator verifies that an answer is complete
/// and belongs to its request.
constexpr std::string_view request_id_header = "X-Request-Id";
constexpr std::string_view checksum_header = "X-Body-Checksum";
constexpr std::string_view service_time_header = "X-Service-Time-Us";
constexpr std::string_view answer_bytes_header = "X-Answer-Bytes";

/// Returns a body of `size` bytes that starts with the request id, so that the
/// bodies of different requests differ. The id is cut off if it is longer.
std::string make_body(std::string_view request_id, std::size_t size);

/// Returns the xxHash64 of the body as 16 hexadecimal digits.
std::string checksum(std::string_view body);

} // namespace hawthornspur::tools

#endif
