// Names of error kinds: see result.h.

#include "ramphinge/base/result.h"

namespace ramphinge {

const char *toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return "invalid_input";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Unknown:
        return "unknown";
    case ErrorKind::Fenced:
        return "fenced";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace ramphinge
