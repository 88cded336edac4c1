// Relay of server-sent events: see sse_relay.h.

#include "ramphinge/gateway/sse_relay.h"

#include <charconv>

namespace ramphinge {

namespace {

constexpr std::size_t maxEventBytes = 256 * 1024;
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id: ";
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

} // namespace

bool SseRelay::feed(std::string_view bytes, std::string &out)
{
    // Usually a read holds only complete events, which are handled without copying.
    std::string joined;
    if (!m_partial.empty()) {
        joined = std::move(m_partial);
        joined.append(bytes);
        m_partial.clear();
        bytes = joined;
    }
    while (true) {
        const std::size_t end = bytes.find(eventEnd);
        if (end == std::string_view::npos)
            break;
        const std::string_view event = bytes.substr(0, end + eventEnd.size());
        bytes.remove_prefix(event.size());
        const Verdict verdict = classify(event);
        if (verdict == Verdict::Broken)
            return false;
        if (verdict == Verdict::Forward)
            out.append(event);
    }
    m_partial.assign(bytes);
    return m_partial.size() <= maxEventBytes;
}

SseRelay::Verdict SseRelay::classify(std::string_view event)
{
    if (event == doneEvent)
        m_done = true;
    if (event.substr(0, idField.size()) != idField)
        return Verdict::Forward;
    std::int64_t id = 0;
    const char *const begin = event.data() + idField.size();
    const auto parsed = std::from_chars(begin, event.data() + event.size(), id);
    if (parsed.ec != std::errc() || *parsed.ptr != '\n')
        return Verdict::Broken;
    if (id <= m_position)
        return Verdict::Drop;
    if (id != m_position + 1)
        return Verdict::Broken;
    m_position = id;
    return Verdict::Forward;
}

} // namespace ramphinge
