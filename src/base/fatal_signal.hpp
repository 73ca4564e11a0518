#ifndef HAWTHORNSPUR_BASE_FATAL_SIGNAL_HPP
#define HAWTHORNSPUR_BASE_FATAL_SIGNAL_HPP

#include <string_view>

namespace hawthornspur::diagnostics
{

/// Installs handlers for the signals of faults (SIGSEGV, SIGBUS, SIGILL,
/// SIGFPE, SIGABRT). They write the fault, the running activities and the
/// return addresses to standard output as JSON lines, and let the signal end
/// the process as it would have without them. The addresses are offsets into
/// modules; scripts/symbolize converts them. Called once, from the main thread,
/// before other threads start. Does nothing in builds with sanitizers, which
/// have their own reports.
void report_fatal_signals(std::string_view program_version);

} // namespace hawthornspur::diagnostics

#endif
