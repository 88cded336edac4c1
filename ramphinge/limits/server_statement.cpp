// Names of statement fields: see server_statement.h.

#include "ramphinge/limits/server_statement.h"

namespace ramphinge {

const char *toString(StatementField field)
{
    switch (field) {
    case StatementField::RateLimit:
        return "rate_limit";
    case StatementField::Backoff:
        return "backoff";
    case StatementField::Leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace ramphinge
