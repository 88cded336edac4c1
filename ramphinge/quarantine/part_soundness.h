// Remembers which parts of prompts servers have run without harm, and when last.
//
// Bounded: parts are kept in two generations. A part that is noted again moves to the younger
// generation; when that is full, the older one is dropped. So parts in frequent use stay, while the
// many that are used once don't evict them.
//
//   soundness.note(part, begunAt);
//   if (soundness.soundAt(part) > crashedAt) ...

#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "ramphinge/base/time.h"
#include "ramphinge/quarantine/fingerprint.h"

namespace ramphinge {

// Not thread-safe: lives on the event loop.
class PartSoundness
{
public:
    explicit PartSoundness(std::size_t maxPerGeneration) : m_maxPerGeneration(maxPerGeneration) { }

    // A server began to write an answer with the part at `begunAt`, without harm.
    void note(const Fingerprint &part, MonotonicTime begunAt);

    // The latest such time; nothing if none is remembered.
    std::optional<MonotonicTime> soundAt(const Fingerprint &part) const;

private:
    std::size_t m_maxPerGeneration;
    std::map<Fingerprint, MonotonicTime> m_younger; // Invariant: at most m_maxPerGeneration.
    std::map<Fingerprint, MonotonicTime> m_older; // The same.
};

} // namespace ramphinge
