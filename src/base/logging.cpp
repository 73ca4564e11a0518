#include "base/logging.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <chrono>
#include <cstdint>
#include <utility>

namespace hawthornspur::logging
{

namespace
{

log4cxx::LevelPtr to_log4cxx(level severity)
{
    switch (severity)
    {
    case level::debug:
        return log4cxx::Level::getDebug();
    case level::info:
        return log4cxx::Level::getInfo();
    case level::warn:
        return log4cxx::Level::getWarn();
    case level::error:
        break;
    }
    return log4cxx::Level::getError();
}

/// Capacity of the buffer of the writing thread in lines, more than three
/// seconds at the rate limit.
constexpr int max_buffered_lines = 1000;

/// Under overload every call would write one or more lines, and the processor
/// time is needed for the calls.
constexpr int max_lines_per_second = 300;

/// More than a process writes on its own state while a fleet starts.
constexpr int max_process_lines_per_second = 300;

/// Rate limit in windows of one second.
struct line_limiter
{
    int m_max_lines = 0;
    std::chrono::steady_clock::time_point m_window_start{};
    int m_lines = 0;
    std::uint64_t m_discarded_lines = 0;
};

/// Returns whether one more line may be written. At the start of a window, logs
/// the number of lines that were discarded in the previous ones.
bool try_acquire_line(line_limiter& limiter, log4cxx::Logger& logger)
{
    auto const now = std::chrono::steady_clock::now();
    if (now - limiter.m_window_start >= std::chrono::seconds(1))
    {
        auto const discarded_lines =
            std::exchange(limiter.m_discarded_lines, 0);
        limiter.m_window_start = now;
        limiter.m_lines = 0;
        if (discarded_lines > 0)
        {
            log4cxx::MDC::put("lines", std::to_string(discarded_lines));
            logger.forcedLog(log4cxx::Level::getWarn(),
                             std::string("log lines left out"));
            log4cxx::MDC::remove("lines");
        }
    }
    if (++limiter.m_lines > limiter.m_max_lines)
    {
        ++limiter.m_discarded_lines;
        return false;
    }
    return true;
}

void write_limited(line_limiter& limiter, level severity,
                   std::string const& logger, std::string_view message,
                   std::initializer_list<field> fields)
{
    auto const module_logger = log4cxx::Logger::getLogger(logger);
    auto const log_level = to_log4cxx(severity);
    if (!module_logger->isEnabledFor(log_level) ||
        !try_acquire_line(limiter, *module_logger))
    {
        return;
    }
    for (auto const& entry : fields)
    {
        log4cxx::MDC::put(std::string(entry.m_name), entry.m_value);
    }
    module_logger->forcedLog(log_level, std::string(message));
    for (auto const& entry : fields)
    {
        log4cxx::MDC::remove(std::string(entry.m_name));
    }
}

} // namespace

void start(level threshold)
{
    // The layout writes the mapped diagnostic context as fields of the JSON
    // line.
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setPrettyPrint(false);
    layout->setLocationInfo(false);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    auto async_appender = std::make_shared<log4cxx::AsyncAppender>();
    async_appender->setBufferSize(max_buffered_lines);
    async_appender->setBlocking(false);
    async_appender->addAppender(appender);
    log4cxx::helpers::Pool pool;
    async_appender->activateOptions(pool);
    log4cxx::BasicConfigurator::configure(async_appender);
    log4cxx::Logger::getRootLogger()->setLevel(to_log4cxx(threshold));
}

void set_threshold(level threshold)
{
    log4cxx::Logger::getRootLogger()->setLevel(to_log4cxx(threshold));
}

void stop()
{
    log4cxx::LogManager::shutdown();
}

bool is_enabled(level severity)
{
    return log4cxx::Logger::getRootLogger()->isEnabledFor(to_log4cxx(severity));
}

void write(level severity, std::string const& logger, std::string_view message,
           std::initializer_list<field> fields)
{
    static line_limiter limiter{.m_max_lines = max_lines_per_second};
    write_limited(limiter, severity, logger, message, fields);
}

void write_process_line(level severity, std::string const& logger,
                        std::string_view message,
                        std::initializer_list<field> fields)
{
    static line_limiter limiter{.m_max_lines = max_process_lines_per_second};
    write_limited(limiter, severity, logger, message, fields);
}

} // namespace hawthornspur::logging
