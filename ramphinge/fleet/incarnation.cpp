// Encoding of incarnations as host IDs: see incarnation.h.

#include "ramphinge/fleet/incarnation.h"

#include <charconv>

namespace ramphinge {

namespace {

constexpr char separator = '@'; // Between the name and the start time.

} // namespace

HostId hostIdOf(const Incarnation &incarnation)
{
    const std::string &name = incarnation.name.text();
    const bool isPlain =
        incarnation.startedAt == StartTime() && name.find(separator) == std::string::npos;
    if (isPlain)
        return HostId(name);
    return HostId(name + separator + std::to_string(incarnation.startedAt.count()));
}

Incarnation incarnationOf(const HostId &host)
{
    const std::string &text = host.text();
    const std::size_t at = text.rfind(separator);
    if (at == std::string::npos)
        return { ServerName(text), {} };
    std::int64_t start = 0;
    std::from_chars(text.data() + at + 1, text.data() + text.size(), start);
    return { ServerName(text.substr(0, at)), StartTime(start) };
}

} // namespace ramphinge
