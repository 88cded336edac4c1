// Deltas between two versions of a value: see delta.h.

#include "ramphinge/base/delta.h"

#include <algorithm>
#include <unordered_map>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

constexpr std::size_t blockBytes = 256;
constexpr std::size_t segmentOverheadBytes = 12;
constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15ULL;

// A polynomial hash of blockBytes bytes that can be moved along a text by one byte at a time.
class RollingHash
{
public:
    explicit RollingHash(std::string_view block)
    {
        for (const char c : block)
            m_value = m_value * multiplier + static_cast<unsigned char>(c);
    }

    void roll(char out, char in)
    {
        m_value = (m_value - static_cast<unsigned char>(out) * highestPower()) * multiplier
            + static_cast<unsigned char>(in);
    }

    std::uint64_t value() const { return m_value; }

private:
    static std::uint64_t highestPower()
    {
        static const std::uint64_t power = [] {
            std::uint64_t result = 1;
            for (std::size_t i = 1; i < blockBytes; ++i)
                result *= multiplier;
            return result;
        }();
        return power;
    }

    std::uint64_t m_value = 0;
};

std::size_t commonPrefix(std::string_view a, std::string_view b)
{
    const std::size_t most = std::min(a.size(), b.size());
    const auto *const end = a.data() + most;
    return static_cast<std::size_t>(std::mismatch(a.data(), end, b.data()).first - a.data());
}

// Positions of the base's blocks, by their hashes; the first of equal ones.
std::unordered_map<std::uint64_t, std::size_t> indexOf(std::string_view base)
{
    std::unordered_map<std::uint64_t, std::size_t> index;
    index.reserve(base.size() / blockBytes + 1);
    for (std::size_t at = 0; at + blockBytes <= base.size(); at += blockBytes)
        index.emplace(RollingHash(base.substr(at, blockBytes)).value(), at);
    return index;
}

class DeltaWriter
{
public:
    DeltaWriter(std::string_view base, std::string_view target)
        : m_base(base), m_target(target), m_index(indexOf(base))
    { }

    Delta write()
    {
        copy(0, 0);
        while (m_at < m_target.size()) {
            const std::size_t next = findBlock();
            m_delta.segments.push_back({ 0, 0, std::string(m_target.substr(m_at, next - m_at)) });
            m_at = next;
            if (m_at < m_target.size())
                copy(m_found, m_at);
        }
        m_delta.targetHash = stableHash(m_target);
        return std::move(m_delta);
    }

private:
    // Copies what the base has from `offset` on and the target from `at` on.
    void copy(std::size_t offset, std::size_t at)
    {
        const std::size_t length = commonPrefix(m_base.substr(offset), m_target.substr(at));
        if (length > 0)
            m_delta.segments.push_back({ offset, length, {} });
        m_at = at + length;
    }

    // The next position of the target, from the current one on, at which a block of the base
    // begins; m_found is its position there. The target's end if there is none.
    std::size_t findBlock()
    {
        std::size_t at = m_at;
        if (at + blockBytes > m_target.size())
            return m_target.size();
        RollingHash hash(m_target.substr(at, blockBytes));
        while (true) {
            const auto found = m_index.find(hash.value());
            if (found != m_index.end()
                && m_base.compare(found->second, blockBytes, m_target, at, blockBytes) == 0) {
                m_found = found->second;
                return at;
            }
            if (at + blockBytes >= m_target.size())
                return m_target.size();
            hash.roll(m_target[at], m_target[at + blockBytes]);
            ++at;
        }
    }

    std::string_view m_base;
    std::string_view m_target;
    std::unordered_map<std::uint64_t, std::size_t> m_index;
    std::size_t m_at = 0; // The target is described up to here.
    std::size_t m_found = 0;
    Delta m_delta;
};

} // namespace

std::size_t Delta::encodedBytes() const
{
    std::size_t bytes = 0;
    for (const DeltaSegment &segment : segments)
        bytes += segmentOverheadBytes + segment.literal.size();
    return bytes;
}

Delta makeDelta(std::string_view base, std::string_view target)
{
    return DeltaWriter(base, target).write();
}

Result<std::string> applyDelta(std::string_view base, const Delta &delta, std::size_t maxBytes)
{
    std::size_t size = 0;
    for (const DeltaSegment &segment : delta.segments) {
        if (segment.offset > base.size() || segment.length > base.size() - segment.offset)
            return Error(ErrorKind::InvalidInput, "a delta refers to bytes that its base lacks");
        size += segment.length + segment.literal.size();
        if (size > maxBytes)
            return Error(ErrorKind::InvalidInput, "a delta describes too large a value");
    }
    std::string target;
    target.reserve(size);
    for (const DeltaSegment &segment : delta.segments) {
        target.append(base.substr(segment.offset, segment.length));
        target.append(segment.literal);
    }
    if (stableHash(target) != delta.targetHash)
        return Error(ErrorKind::InvalidInput, "a delta was made for another base");
    return target;
}

} // namespace ramphinge
