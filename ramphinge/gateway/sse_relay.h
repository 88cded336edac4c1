// Passes an upstream's server-sent events on, each token once, also over several upstreams.
//
// The engine numbers its tokens by the events' ids. After a break the rest is asked of another
// replica by position; whatever it repeats is dropped here, and a gap counts as a break.
//
//   SseRelay relay;
//   if (!relay.feed(piece, out)) ...broken: resume from relay.position()...
//   forward(out);

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ramphinge {

// Not thread-safe; one for each caller's stream.
class SseRelay
{
public:
    // Appends to `out` what the caller should get of the upstream's next bytes. False if the stream
    // can't be right: a gap, a malformed id, or an event that is too long.
    bool feed(std::string_view bytes, std::string &out);

    // Another upstream continues: forgets a half-received event.
    void restart() { m_partial.clear(); }

    // Tokens passed on so far.
    std::int64_t position() const { return m_position; }

    // Whether the upstream said that the answer is whole.
    bool done() const { return m_done; }

private:
    enum class Verdict { Forward, Drop, Broken };

    Verdict judge(std::string_view event);

    std::string m_partial; // Invariant: no complete event; bounded.
    std::int64_t m_position = 0;
    bool m_done = false;
};

} // namespace ramphinge
