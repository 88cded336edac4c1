// Cuts a stream of server-sent events into whole events, so that a stream which breaks off in the
// middle of one can go on at another upstream without a torn or doubled event.
//
//   reader.feed(piece);
//   while (auto event = reader.next()) relay(event->text);

#pragma once

#include <optional>
#include <string>

#include "ramphinge/dispatch/requests.h"

namespace ramphinge {

struct StreamEvent
{
    std::string text; // As received, with the blank line that ends it.
    EventId id; // Empty if it has none.
};

// Not thread-safe; one for each upstream's answer.
class EventStreamReader
{
public:
    void feed(std::string_view piece) { m_buffer.append(piece); }

    // The next whole event, or nothing until more is fed.
    std::optional<StreamEvent> next();

    // Bytes that are no whole event yet.
    std::size_t rest() const { return m_buffer.size(); }

private:
    std::string m_buffer; // Invariant: holds no whole event after next() returned nothing.
    std::size_t m_searched = 0; // No event ends before this.
};

// Whether `id` comes right after `last`, for ids that are numbers; true if either is no number or
// nothing came before.
bool followsInOrder(const EventId &last, const EventId &id);

// True if both are numbers and `id` is not beyond `last`.
bool alreadyDelivered(const EventId &last, const EventId &id);

} // namespace ramphinge
