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

/// One named value of a log line.
struct field
{
    std::string_view m_name;
    std::string m_value;
};

/// Sends log lines as JSON to standard output. Called once at start; lines
/// below the threshold are dropped. Writing never waits for the reader: a
/// thread of its own writes, and lines that it cannot take are counted.
void start(level threshold);

/// Changes the threshold of start().
void set_threshold(level threshold);

/// Writes what is buffered and stops.
void stop();

/// True when lines of this level are written, so that callers can avoid
/// building fields in vain.
bool is_enabled(level severity);

/// Writes one JSON line. The logger name is the module, for example
/// "serve.relay".
void write(level severity, std::string const& logger, std::string_view message,
           std::initializer_list<field> fields = {});

} // namespace hawthornspur::logging

#endif
