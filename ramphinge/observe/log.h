// Logs as JSON lines on standard output, through log4cplus. A reader that doesn't keep up never
// blocks the process: lines that don't fit are dropped, and later lines carry the number dropped.
//
//   initializeLogging("info", DaemonId("d1"));
//   logInfo("config", "configuration in force", { { "version", 7 } });

#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// Call once, before the first line; without it only errors are logged, to standard error. `level`:
// debug, info, warn or error.
void initializeLogging(const std::string &level, const DaemonId &daemon);

// Ends the process without running destructors: log4cplus would wait for its own threads, and it is
// enough that the kernel closes open connections.
[[noreturn]] void endProcess(int exitCode);

// Number of lines dropped so far because standard output didn't take them.
std::int64_t droppedLogLines();

// `part` names the library. Thread-safe.
void logDebug(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logInfo(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logWarning(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logError(const std::string &part, const std::string &message, nlohmann::json fields = {});

} // namespace ramphinge
