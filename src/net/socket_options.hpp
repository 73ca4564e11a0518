#ifndef HAWTHORNSPUR_NET_SOCKET_OPTIONS_HPP
#define HAWTHORNSPUR_NET_SOCKET_OPTIONS_HPP

#include <chrono>

namespace hawthornspur::net
{

/// An idle connection is probed after this time, then once an interval; without
/// an answer to any probe it is closed. Together the time in which a connection
/// that went silent is noticed.
inline constexpr int keep_alive_idle_seconds = 1;
inline constexpr int keep_alive_interval_seconds = 1;
inline constexpr int keep_alive_probes = 2;

/// Bytes that the other side does not acknowledge for this long end the
/// connection. Equal to the time in which a silent idle one is noticed.
inline constexpr std::chrono::milliseconds unacknowledged_limit{3000};

/// Sends small pieces at once (TCP_NODELAY). Otherwise the last piece of a
/// message waits up to 40 ms for the delayed acknowledgement of the one before.
void set_no_delay(int fd) noexcept;

/// Lets the kernel notice that the other side is unreachable, also while a
/// request waits for a long answer.
void set_keep_alive(int fd) noexcept;

} // namespace hawthornspur::net

#endif
