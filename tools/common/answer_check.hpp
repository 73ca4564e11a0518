#ifndef HAWTHORNSPUR_TOOLS_COMMON_ANSWER_CHECK_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_ANSWER_CHECK_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornspur::tools
{

/// Headers by which the load generator checks that an answer is whole and
/// belongs to its request.
constexpr std::string_view request_id_header = "X-Request-Id";
constexpr std::string_view checksum_header = "X-Body-Checksum";
constexpr std::string_view service_time_header = "X-Service-Time-Us";
constexpr std::string_view answer_bytes_header = "X-Answer-Bytes";

/// A body of this size that starts with the id of its request, so that bodies
/// of two requests differ.
std::string make_body(std::string_view request_id, std::size_t size);

/// xxHash64 as 16 hex digits.
std::string checksum(std::string_view body);

} // namespace hawthornspur::tools

#endif
