// Forwards an upstream's server-sent events, each token once, also across failover to another
// upstream.
//
// Engines number the tokens in the events' ids. After a failure, another replica continues from a
// position; tokens that it sends again are dropped here, and a gap counts as a failure.
//
//   SseRelay relay;
//   if (!relay.feed(piece, out)) ...failed: resume from relay.position()...
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
    // Parses the upstream's next bytes and appends to `out` the events to forward. False if the
    // stream is invalid: a gap, a malformed id, or an event that is too long.
    bool feed(std::string_view bytes, std::string &out);

    // Discards a partially received event, before another upstream continues the stream.
    void restart() { m_partial.clear(); }

    // Number of tokens forwarded so far.
    std::int64_t position() const { return m_position; }

    // Whether the upstream marked the answer as complete.
    bool done() const { return m_done; }

private:
    enum class Verdict { Forward, Drop, Broken };

    Verdict classify(std::string_view event);

    std::string m_partial; // Invariant: holds no complete event; bounded.
    std::int64_t m_position = 0;
    bool m_done = false;
};

} // namespace ramphinge
