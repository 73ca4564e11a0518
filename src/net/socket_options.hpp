#ifndef HAWTHORNSPUR_NET_SOCKET_OPTIONS_HPP
#define HAWTHORNSPUR_NET_SOCKET_OPTIONS_HPP

#include <chrono>

namespace hawthornspur::net
{

/// An idle connection is probed after the idle time, then once per interval,
/// and closed if none of the probes is answered. An unreachable peer is thus
/// detected within 3 seconds.
inline constexpr int keep_alive_idle_seconds = 1;
inline constexpr int keep_alive_interval_seconds = 1;
inline constexpr int keep_alive_probes = 2;

/// A connection is closed when sent bytes are not acknowledged for this long.
/// Equals the time in which keep-alive probes detect an unreachable peer.
inline constexpr std::chrono::milliseconds unacknowledged_timeout{3000};

/// Pause after a failed accept, so that the event loop does not spin on a
/// listener that stays readable.
inline constexpr std::chrono::milliseconds accept_pause{50};

/// Sets TCP_NODELAY. Without it the last segment of a message may wait up to
/// 40 ms for the delayed acknowledgement of the one before.
void set_no_delay(int fd) noexcept;

/// Makes the kernel close the connection when the peer is unreachable, even if
/// a request is waiting for a slow answer.
void set_keep_alive(int fd) noexcept;

} // namespace hawthornspur::net

#endif
