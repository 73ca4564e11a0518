#include "base/logging.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <optional>
#include <vector>

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

} // namespace

void start(level threshold)
{
    // Properties of the diagnostic context become fields of the JSON line.
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    layout->setPrettyPrint(false);
    layout->setLocationInfo(false);
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(to_log4cxx(threshold));
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
