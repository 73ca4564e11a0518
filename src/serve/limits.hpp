#ifndef HAWTHORNSPUR_SERVE_LIMITS_HPP
#define HAWTHORNSPUR_SERVE_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace hawthornspur::serve
{

/// A caller that another host can serve may come back this soon; it opens a new
/// connection anyway.
inline constexpr std::chrono::milliseconds other_host_retry_delay{50};

} // namespace hawthornspur::serve

namespace hawthornspur::serve::limits
{

/// Bytes of one answer that its receiver has not taken yet; above it no more is
/// read from the target, and no more window is granted to a peer. Also the
/// window with which a peer starts.
inline constexpr std::size_t max_buffered_answer_bytes = std::size_t{256}
                                                         << 10U;

/// Answers up to this size are kept for copies of an at-most-once request.
inline constexpr std::size_t max_kept_answer_bytes = std::size_t{64} << 10U;

} // namespace hawthornspur::serve::limits

#endif
