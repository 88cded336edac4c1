// Logs as JSON lines on standard error, through log4cplus.
//
//   initializeLogging("info", DaemonId("d1"));
//   logInfo("config", "configuration in force", { { "version", 7 } });

#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// Call once, before the first line. `level`: debug, info, warn or error.
void initializeLogging(const std::string &level, const DaemonId &daemon);
void shutDownLogging();

// `part` names the library. Thread-safe.
void logDebug(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logInfo(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logWarning(const std::string &part, const std::string &message, nlohmann::json fields = {});
void logError(const std::string &part, const std::string &message, nlohmann::json fields = {});

} // namespace ramphinge
