// Splits a stream of server-sent events into complete events, so that a stream which breaks off
// within an event can resume at another upstream without a truncated or duplicate event.
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
    bool isComment = false; // It has no field.
};

// Not thread-safe. Each upstream response needs a reader of its own.
class EventStreamReader
{
public:
    void feed(std::string_view piece) { m_buffer.append(piece); }

    // The next complete event; nothing if more input is needed.
    std::optional<StreamEvent> next();

    // Number of buffered bytes that don't form a complete event yet.
    std::size_t incompleteBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer; // Invariant: has no complete event after next() returned nothing.
    std::size_t m_searchFrom = 0; // No event ends before this.
};

// Whether numeric `id` is the direct successor of numeric `last`; also true if either is not a
// number or `last` is empty.
bool followsInOrder(const EventId &last, const EventId &id);

// True if both ids are numeric and `id` is not greater than `last`.
bool alreadyDelivered(const EventId &last, const EventId &id);

} // namespace ramphinge
