// JSON form of membership entries, shared by the HTTP adapter and the fake platform.

#pragma once

#include <nlohmann/json.hpp>

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

nlohmann::json toJson(const Member &member);

// Errors: InvalidInput, with the parser's message.
Result<Member> memberFromJson(const nlohmann::json &json);

} // namespace ramphinge
