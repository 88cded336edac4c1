// Members as JSON, the form shared by the store's adapter and the stand-in of the platform.

#pragma once

#include <nlohmann/json.hpp>

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

nlohmann::json toJson(const Member &member);

// Errors: InvalidInput, naming the field.
Result<Member> memberFromJson(const nlohmann::json &json);

} // namespace ramphinge
