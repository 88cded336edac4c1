// JSON lines through log4cplus: see log.h.

#include "ramphinge/observe/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

namespace ramphinge {

namespace {

using Json = nlohmann::json;

// Writes one event as one JSON object. The message is itself a JSON object made by logLine().
class JsonLayout : public log4cplus::Layout
{
public:
    explicit JsonLayout(std::string daemon) : m_daemon(std::move(daemon)) { }

    void formatAndAppend(log4cplus::tostream &output,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        Json line = Json::parse(event.getMessage(), nullptr, false);
        if (!line.is_object())
            line = { { "message", event.getMessage() } };
        const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(
            event.getTimestamp().time_since_epoch());
        line["ms"] = microseconds.count() / 1000;
        line["level"] = log4cplus::getLogLevelManager().toString(event.getLogLevel());
        line["part"] = event.getLoggerName();
        line["daemon"] = m_daemon;
        output << line.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
    }

private:
    std::string m_daemon;
};

std::unique_ptr<log4cplus::Initializer> &initializer()
{
    static std::unique_ptr<log4cplus::Initializer> instance;
    return instance;
}

log4cplus::LogLevel levelOf(const std::string &level)
{
    if (level == "debug")
        return log4cplus::DEBUG_LOG_LEVEL;
    if (level == "warn")
        return log4cplus::WARN_LOG_LEVEL;
    return level == "error" ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
}

void logLine(log4cplus::LogLevel level, const std::string &part, const std::string &message,
             Json fields)
{
    if (!initializer())
        return;
    log4cplus::Logger logger = log4cplus::Logger::getInstance(part);
    if (!logger.isEnabledFor(level))
        return;
    if (!fields.is_object())
        fields = Json::object();
    fields["message"] = message;
    logger.log(level, fields.dump(-1, ' ', false, Json::error_handler_t::replace));
}

} // namespace

void initializeLogging(const std::string &level, const DaemonId &daemon)
{
    initializer() = std::make_unique<log4cplus::Initializer>();
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<JsonLayout>(daemon.text()));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(levelOf(level));
}

void shutDownLogging()
{
    initializer().reset();
}

void logDebug(const std::string &part, const std::string &message, Json fields)
{
    logLine(log4cplus::DEBUG_LOG_LEVEL, part, message, std::move(fields));
}

void logInfo(const std::string &part, const std::string &message, Json fields)
{
    logLine(log4cplus::INFO_LOG_LEVEL, part, message, std::move(fields));
}

void logWarning(const std::string &part, const std::string &message, Json fields)
{
    logLine(log4cplus::WARN_LOG_LEVEL, part, message, std::move(fields));
}

void logError(const std::string &part, const std::string &message, Json fields)
{
    logLine(log4cplus::ERROR_LOG_LEVEL, part, message, std::move(fields));
}

} // namespace ramphinge
