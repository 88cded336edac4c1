// Result types: a value, or an error with a kind and a message that says what to do about it.
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
    Conflict, // Changed concurrently by another writer; read it again.
    Overloaded, // No capacity within the deadline; retry later.
    DeadlineExceeded,
    Unavailable, // Had no effect; may be retried.
    Unknown, // May have had an effect; read the state before deciding.
    Fenced, // The lease or epoch of the caller is no longer current.
    Internal,
};

// Stable lower-case name, as used on the wire.
const char *toString(ErrorKind kind);

// An error; the message says what went wrong and what to do about it. Immutable value.
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

// Holds either a T or an Error. The accessor of the one that it doesn't hold throws
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

// The value of a Status without error.
struct Done
{
};
using Status = Result<Done>;

} // namespace ramphinge
