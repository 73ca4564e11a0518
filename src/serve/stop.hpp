#ifndef HAWTHORNSPUR_SERVE_STOP_HPP
#define HAWTHORNSPUR_SERVE_STOP_HPP

#include <string>

namespace hawthornspur::serve
{

struct active_call;
struct entry_host;

/// Starts the planned stop. The host is removed from address answers, hands
/// over its pools, serves callers with earlier address answers until these
/// expire, finishes the calls in flight and stops the loop, at the latest after
/// the time that the settings and the platform allow. It refuses new calls that
/// might not end by then. A second call is only logged.
void begin_stop(entry_host& host, std::string const& reason);

/// Whether a classified call may run here: it cannot outlast a stop that began
/// before it arrived.
bool is_accepted(entry_host const& host, active_call const& call) noexcept;

/// Advances a started stop. Called at regular intervals.
void advance_stop(entry_host& host);

} // namespace hawthornspur::serve

#endif
