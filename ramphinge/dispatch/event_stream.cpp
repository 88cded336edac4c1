// Parser of server-sent events: see event_stream.h.

#include "ramphinge/dispatch/event_stream.h"

#include <charconv>

namespace ramphinge {

namespace {

constexpr std::string_view idFieldName = "id:";

// Offset after the event that starts at 0, including its blank line; npos if it is incomplete.
// The search starts at `from`.
std::size_t eventEnd(const std::string &buffer, std::size_t from)
{
    for (std::size_t at = buffer.find('\n', from); at != std::string::npos;
         at = buffer.find('\n', at + 1)) {
        if (buffer.compare(at + 1, 1, "\n") == 0)
            return at + 2;
        if (buffer.compare(at + 1, 2, "\r\n") == 0)
            return at + 3;
    }
    return std::string::npos;
}

EventId parseId(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (line.substr(0, idFieldName.size()) != idFieldName)
            continue;
        line.remove_prefix(idFieldName.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        return EventId(std::string(line));
    }
    return {};
}

// Whether all lines are empty or comments.
bool hasNoField(std::string_view event)
{
    for (std::size_t begin = 0; begin < event.size(); begin = event.find('\n', begin) + 1) {
        if (event[begin] != ':' && event[begin] != '\r' && event[begin] != '\n')
            return false;
    }
    return true;
}

std::optional<std::int64_t> parseNumber(const EventId &id)
{
    const std::string &text = id.text();
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::optional<StreamEvent> EventStreamReader::next()
{
    const std::size_t end = eventEnd(m_buffer, m_searchFrom);
    if (end == std::string::npos) {
        // The terminator may be split between two pieces, so the last two bytes are searched again.
        m_searchFrom = m_buffer.size() < 2 ? 0 : m_buffer.size() - 2;
        return std::nullopt;
    }
    StreamEvent event;
    event.text = m_buffer.substr(0, end);
    event.id = parseId(event.text);
    event.isComment = hasNoField(event.text);
    m_buffer.erase(0, end);
    m_searchFrom = 0;
    return event;
}

bool followsInOrder(const EventId &last, const EventId &id)
{
    const std::optional<std::int64_t> before = parseNumber(last);
    const std::optional<std::int64_t> now = parseNumber(id);
    return !before || !now || *now == *before + 1;
}

bool alreadyDelivered(const EventId &last, const EventId &id)
{
    const std::optional<std::int64_t> before = parseNumber(last);
    const std::optional<std::int64_t> now = parseNumber(id);
    return before && now && *now <= *before;
}

} // namespace ramphinge
