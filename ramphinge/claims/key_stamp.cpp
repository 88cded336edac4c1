// Stamped idempotency keys: see key_stamp.h.

#include "ramphinge/claims/key_stamp.h"

#include <charconv>

namespace ramphinge {

namespace {

const std::string stampPrefix = "rk1-";

std::string toHex(std::int64_t value)
{
    char text[20] = {};
    const auto written = std::to_chars(text, text + sizeof text, value, 16);
    return { text, written.ptr };
}

} // namespace

std::optional<KeyStamp> parseKeyStamp(const IdempotencyKey &key)
{
    const std::string &text = key.text();
    if (text.compare(0, stampPrefix.size(), stampPrefix) != 0)
        return std::nullopt;
    // The zone may contain dashes; the creation time and the random part can't.
    const std::size_t last = text.rfind('-');
    const std::size_t middle = last == 0 ? std::string::npos : text.rfind('-', last - 1);
    if (middle == std::string::npos || middle <= stampPrefix.size())
        return std::nullopt;
    std::int64_t createdAt = 0;
    const char *const begin = text.data() + middle + 1;
    const char *const end = text.data() + last;
    const auto parsed = std::from_chars(begin, end, createdAt, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end || createdAt <= 0)
        return std::nullopt;
    return KeyStamp { ZoneId(text.substr(stampPrefix.size(), middle - stampPrefix.size())),
                      fromUnixMilliseconds(createdAt) };
}

IdempotencyKey makeStampedKey(const ZoneId &zone, WallTime now, Random &random)
{
    return IdempotencyKey(stampPrefix + zone.text() + "-" + toHex(toUnixMilliseconds(now)) + "-"
                          + random.token());
}

} // namespace ramphinge
