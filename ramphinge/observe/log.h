// Logs as JSON lines on standard output, through log4cplus. A reader that does not keep up never
// blocks the process: lines that find no room are dropped, and counted in the next one that does.
//
//   initializeLogging("info", DaemonId("d1"));
//   logInfo("config", "configuration in force", { { "version", 7 } });

#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// Call once, before the first line; without it only errors are told, on standard error. `level`:
// debug, info, warn or error.
void initializeLogging(const std::string &level, const DaemonId &daemon);

// Ends the process without running destructors: log4cplus waits for threads of its own at its end,
// and connections in progress need no more than the kernel's close.
[[noreturn]] void endProcess(int exitCode);

// Lines dropped so far because nobody read them.
std::int64_t droppedLogLines();

// `part` names the library. Thread-safe.
void logDebug(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logInfo(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logWarning(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logError(const std::string &part, const std::string &message, nlohmann::json fields = {});

} // namespace ramphinge
