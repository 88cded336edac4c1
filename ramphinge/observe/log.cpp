// JSON lines through log4cplus: see log.h.

#include "ramphinge/observe/log.h"

#include <atomic>
#include <cerrno>
#include <climits>
#include <cstdlib>
#include <iostream>

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>

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
        if (const std::int64_t dropped = droppedLogLines(); dropped > 0)
            line["lines_dropped_before"] = dropped;
        output << line.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
    }

private:
    std::string m_daemon;
};

std::atomic<std::int64_t> &droppedLines()
{
    static std::atomic<std::int64_t> count { 0 };
    return count;
}

// Writes complete lines to standard output and drops those that would block.
class StandardOutputAppender : public log4cplus::Appender
{
public:
    ~StandardOutputAppender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        const std::string text = line.str();
        if (!hasRoom(text.size()) || !writeAll(text))
            ++droppedLines();
    }

private:
    // Whether `bytes` can be written without blocking, which would stall the event loop until the
    // log's reader continues. poll() only guarantees room for PIPE_BUF; a longer line, such as one
    // with a caller's request id of 8 KB, may fit in part only.
    static bool hasRoom(std::size_t bytes)
    {
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
            return false;
        const int capacity = bytes <= PIPE_BUF ? -1 : fcntl(STDOUT_FILENO, F_GETPIPE_SZ);
        if (capacity < 0)
            return true; // The line is short, or the output is no pipe.
        int unread = 0;
        ioctl(STDOUT_FILENO, FIONREAD, &unread);
        // Pages of a pipe may be only half full, and the first and last nearly empty, so unread
        // bytes may occupy twice their size and two pages more.
        const auto maxOccupied = 2 * static_cast<std::size_t>(unread) + 2 * PIPE_BUF;
        return maxOccupied + bytes <= static_cast<std::size_t>(capacity);
    }

    static bool writeAll(const std::string &text)
    {
        std::size_t written = 0;
        while (written < text.size()) {
            const ssize_t got =
                ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
            if (got < 0 && errno != EINTR)
                return false;
            written += got > 0 ? static_cast<std::size_t>(got) : 0;
        }
        return true;
    }
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
    if (!initializer()) {
        // A program without a log, such as a test: its errors must not be lost.
        if (level >= log4cplus::ERROR_LOG_LEVEL)
            std::cerr << part << ": " << message << ' ' << fields << '\n';
        return;
    }
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
    const log4cplus::SharedAppenderPtr appender(new StandardOutputAppender);
    appender->setLayout(std::make_unique<JsonLayout>(daemon.text()));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(levelOf(level));
}

void endProcess(int exitCode)
{
    std::quick_exit(exitCode);
}

std::int64_t droppedLogLines()
{
    return droppedLines();
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
