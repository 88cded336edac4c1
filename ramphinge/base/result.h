// Results: a value, or an error of a typed kind whose message names the remedy.
//
//   Result<Plan> plan = parsePlan(text);
//   if (!plan.ok())
//       return plan.error();
//   use(plan.value());

#pragma once

#include <string>
#include <utility>
#include <variant>

namespace ramphinge {

enum class ErrorKind {
    InvalidInput, // The caller must change the request.
    Unauthorized, // The credentials don't allow this.
    NotFound,
    Conflict, // Somebody else changed it first; read again.
    Overloaded, // No capacity within the deadline; come back later.
    DeadlineExceeded,
    Unavailable, // Certainly had no effect; may be tried again.
    Unknown, // May or may not have had an effect; read back before deciding.
    Fenced, // The actor's lease or epoch is no longer current.
    Internal,
};

// Stable lower-case name, as used on the wire.
const char *toString(ErrorKind kind);

// What went wrong and what to do about it. Immutable value.
class Error
{
public:
    Error(ErrorKind kind, std::string message) : m_kind(kind), m_message(std::move(message)) { }

    ErrorKind kind() const { return m_kind; }
    const std::string &message() const { return m_message; }

private:
    ErrorKind m_kind;
    std::string m_message;
};

// Holds exactly one of a T and an Error. Calling the accessor of the other one throws
// std::bad_variant_access.
template <typename T> class Result
{
public:
    Result(T value) // NOLINT: implicit by design
        : m_state(std::move(value))
    { }
    Result(Error error) // NOLINT: implicit by design
        : m_state(std::move(error))
    { }

    bool ok() const { return m_state.index() == 0; }
    const T &value() const { return std::get<0>(m_state); }
    T &value() { return std::get<0>(m_state); }
    const Error &error() const { return std::get<1>(m_state); }

private:
    std::variant<T, Error> m_state;
};

// Success without a value.
struct Done
{
};
using Status = Result<Done>;

} // namespace ramphinge
