#ifndef HAWTHORNSPUR_SERVE_LIMITS_HPP
#define HAWTHORNSPUR_SERVE_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace hawthornspur::serve
{

/// Retry delay for a caller that another host can serve. It may be short, since
/// the caller has to open a new connection anyway.
inline constexpr std::chrono::milliseconds other_host_retry_delay{50};

} // namespace hawthornspur::serve

namespace hawthornspur::serve::limits
{

/// Largest body of a request that a configuration may allow; a larger one is
/// refused before it is buffered.
inline constexpr std::size_t max_request_body_bytes = std::size_t{64} << 20U;

/// Limit on the bytes of one answer that its receiver has not read yet. Above
/// it nothing more is read from the target, and no window is returned to a
/// peer. Also the initial window of a peer.
inline constexpr std::size_t max_buffered_answer_bytes = std::size_t{256}
                                                         << 10U;

/// The same for all answers together, an eighth of the memory of a small host.
/// With many callers that do not read, each may leave less unread.
inline constexpr std::size_t max_buffered_bytes_of_all = std::size_t{32} << 20U;
inline constexpr std::size_t min_buffered_answer_bytes = std::size_t{8} << 10U;

/// Largest answer that is kept for copies of an at-most-once request.
inline constexpr std::size_t max_kept_answer_bytes = std::size_t{64} << 10U;

} // namespace hawthornspur::serve::limits

#endif
