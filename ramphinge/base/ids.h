// Strong types for identifiers and units, so that a host id can't be passed as a replica id, or a
// number of tokens as an epoch.

#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ramphinge {

// A textual identifier of the kind `Tag`. Empty means none.
template <typename Tag> class Id
{
public:
    Id() = default;
    explicit Id(std::string text) : m_text(std::move(text)) { }

    const std::string &text() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    friend bool operator==(const Id &a, const Id &b) { return a.m_text == b.m_text; }
    friend bool operator!=(const Id &a, const Id &b) { return a.m_text != b.m_text; }
    friend bool operator<(const Id &a, const Id &b) { return a.m_text < b.m_text; }
    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.m_text; }

private:
    std::string m_text;
};

// A count of the kind `Tag`, with addition, subtraction and comparison.
template <typename Tag, typename Rep = std::int64_t> class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(Rep count) : m_count(count) { }

    constexpr Rep count() const { return m_count; }

    constexpr Quantity &operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
    friend constexpr bool operator==(Quantity a, Quantity b) { return a.m_count == b.m_count; }
    friend constexpr bool operator!=(Quantity a, Quantity b) { return a.m_count != b.m_count; }
    friend constexpr bool operator<(Quantity a, Quantity b) { return a.m_count < b.m_count; }
    friend constexpr bool operator<=(Quantity a, Quantity b) { return a.m_count <= b.m_count; }
    friend constexpr bool operator>(Quantity a, Quantity b) { return a.m_count > b.m_count; }
    friend constexpr bool operator>=(Quantity a, Quantity b) { return a.m_count >= b.m_count; }
    friend std::ostream &operator<<(std::ostream &out, Quantity q) { return out << q.m_count; }

private:
    Rep m_count {};
};

using HostId = Id<struct HostIdTag>;
using ZoneId = Id<struct ZoneIdTag>;
using DomainId = Id<struct DomainIdTag>; // A fabric domain.
using DaemonId = Id<struct DaemonIdTag>;
using ReplicaId = Id<struct ReplicaIdTag>;
using AccountId = Id<struct AccountIdTag>; // A client account.
using ModelId = Id<struct ModelIdTag>; // "name@version" or "name:adapter@version".
using ServiceId = Id<struct ServiceIdTag>;
using RequestId = Id<struct RequestIdTag>;
using PromptPartId = Id<struct PromptPartIdTag>; // A part of a prompt that requests may share.
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
using ChangeId = Id<struct ChangeIdTag>; // A change of the configuration by an operator.

using Tokens = Quantity<struct TokensTag>;
using Epoch = Quantity<struct EpochTag>; // A fencing token: only grows.
using Revision = Quantity<struct RevisionTag>; // The platform's version of a key; 0 means absent.
using Attempt = Quantity<struct AttemptTag, int>; // 1 for a request's first attempt.

// The address on which a process listens; numeric only.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint &a, const Endpoint &b)
    {
        return a.port == b.port && a.address == b.address;
    }
    friend bool operator<(const Endpoint &a, const Endpoint &b)
    {
        return a.port != b.port ? a.port < b.port : a.address < b.address;
    }
};

} // namespace ramphinge

namespace std {
template <typename Tag> struct hash<ramphinge::Id<Tag>>
{
    size_t operator()(const ramphinge::Id<Tag> &id) const { return hash<string>()(id.text()); }
};
template <typename Tag, typename Rep> struct hash<ramphinge::Quantity<Tag, Rep>>
{
    size_t operator()(ramphinge::Quantity<Tag, Rep> q) const { return hash<Rep>()(q.count()); }
};
} // namespace std
