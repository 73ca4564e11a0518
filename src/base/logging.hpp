#ifndef HAWTHORNSPUR_BASE_LOGGING_HPP
#define HAWTHORNSPUR_BASE_LOGGING_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace hawthornspur::logging
{

enum class level
{
    debug,
    info,
    warn,
    error,
};

/// A named value of a log line.
struct field
{
    std::string_view m_name;
    std::string m_value;
};

/// Starts writing log lines as JSON to standard output; called once at program
/// start. Lines below the threshold are discarded. A separate thread writes, so
/// logging never blocks on the reader of the output; lines that do not fit into
/// its buffer are discarded and counted.
void start(level threshold);

/// Changes the threshold passed to start().
void set_threshold(level threshold);

/// Writes all buffered lines and stops logging.
void stop();

/// Returns whether lines of this level are written. Callers use it to avoid
/// building fields of lines that would be discarded.
bool is_enabled(level severity);

/// Writes one JSON line. `logger` is the name of the module, for example
/// "serve.relay". Lines above a rate limit are discarded and counted.
void write(level severity, std::string const& logger, std::string_view message,
           std::initializer_list<field> fields = {});

/// Like write(), for lines on the state of the process rather than on one
/// request. They have a rate limit of their own, so that the lines on requests
/// of an overloaded host do not displace them.
void write_process_line(level severity, std::string const& logger,
                        std::string_view message,
                        std::initializer_list<field> fields = {});

} // namespace hawthornspur::logging

#endif
