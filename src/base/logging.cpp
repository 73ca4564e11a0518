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

/// Lines that wait for the writing thread; about a second at the largest rate.
constexpr int buffered_lines = 1000;

/// Lines a second. Under overload each call would write one or more, and the
/// processor time is needed for the calls.
constexpr int most_lines_per_second = 300;

/// Counts the lines of the current second.
struct line_budget
{
    std::chrono::steady_clock::time_point m_second{};
    int m_lines = 0;
    std::uint64_t m_left_out = 0;
};

/// Whether the second has room for one more line. The first line of a second
/// tells how many were left out before.
bool take_line(log4cxx::Logger& target)
{
    static line_budget budget;
    auto const now = std::chrono::steady_clock::now();
    if (now - budget.m_second >= std::chrono::seconds(1))
    {
        auto const left_out = std::exchange(budget.m_left_out, 0);
        budget.m_second = now;
        budget.m_lines = 0;
        if (left_out > 0)
        {
            log4cxx::MDC::put("lines", std::to_string(left_out));
            target.forcedLog(log4cxx::Level::getWarn(),
                             std::string("log lines left out"));
            log4cxx::MDC::remove("lines");
        }
    }
    if (++budget.m_lines > most_lines_per_second)
    {
        ++budget.m_left_out;
        return false;
    }
    return true;
}

} // namespace

void start(level threshold)
{
    // Properties of the diagnostic context become fields of the JSON line.
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setPrettyPrint(false);
    layout->setLocationInfo(false);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemOut());
    auto buffered = std::make_shared<log4cxx::AsyncAppender>();
    buffered->setBufferSize(buffered_lines);
    buffered->setBlocking(false);
    buffered->addAppender(appender);
    log4cxx::helpers::Pool pool;
    buffered->activateOptions(pool);
    log4cxx::BasicConfigurator::configure(buffered);
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
    auto const target = log4cxx::Logger::getLogger(logger);
    auto const log_level = to_log4cxx(severity);
    if (!target->isEnabledFor(log_level))
    {
        return;
    }
    if (!take_line(*target))
    {
        return;
    }
    for (auto const& entry : fields)
    {
        log4cxx::MDC::put(std::string(entry.m_name), entry.m_value);
    }
    target->forcedLog(log_level, std::string(message));
    for (auto const& entry : fields)
    {
        log4cxx::MDC::remove(std::string(entry.m_name));
    }
}

} // namespace hawthornspur::logging
