// Whether this daemon reaches any server of a service.
//
// A daemon may lose its paths to all of them while callers, the store and other daemons still reach
// it. Its own view of the servers is worth nothing then: it must not pass for their state.
//
// Contact is in doubt after new connections to several hosts failed, or when nothing arrives from
// any of them although requests wait. Then a few servers are probed, each on a new connection,
// since kept connections may live on while new ones fail. Contact is lost if all of these probes
// fail, and sound as soon as one is answered. A single server that fails or falls silent changes
// nothing.
//
//   for (const HostId &host : contact.takeProbes(now))
//       contact.noteProbe(host, probe(host), now);
//   if (contact.isLost()) ...
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/random.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

enum class ContactState { Sound, Doubtful, Lost };

const char *toString(ContactState state);

enum class ContactProbeResult {
    Answered,
    Failed,
    Inconclusive, // This process was too late to tell.
};

const char *toString(ContactProbeResult result);

struct ServerContactOptions
{
    // New connections that failed at this many hosts within `failureWindow` put contact in doubt.
    int failedHosts = 2;
    Duration failureWindow = std::chrono::seconds(1);
    // So does this time without any data while requests wait. An engine passes on data of some
    // request every 40 ms.
    Duration silence = std::chrono::milliseconds(300);
    // How long a probe that was answered rules out another doubt: for silence, since a single
    // request may wait long in a queue, and for failures, of which there are many where many
    // servers are lost at once.
    Duration silenceInterval = std::chrono::seconds(1);
    Duration failureInterval = std::chrono::milliseconds(500);
    // Contact is lost after this many servers were probed in vain: first one, then the others at
    // once.
    int probes = 3;
    // Interval of probes while contact is lost, each of another server. Requests are forwarded
    // meanwhile, and hundreds of daemons may have lost it at once.
    Duration lostProbeInterval = std::chrono::milliseconds(250);
};

// Not thread-safe: lives on the event loop.
class ServerContact
{
public:
    explicit ServerContact(ServerContactOptions options = {}, std::uint64_t seed = 1)
        : m_options(options), m_random(seed)
    { }

    // Replaces the servers that can be probed. Without any, contact is never lost.
    void setHosts(std::vector<HostId> hosts) { m_hosts = std::move(hosts); }

    // A request was written to a server, and is over. Calls come in pairs.
    void noteSent(MonotonicTime now);
    void noteEnded() { --m_waiting; }
    // Data arrived from a server.
    void noteArrival(MonotonicTime now) { m_lastArrival = now; }
    // A connection to the host could not be made, or ended before anything arrived on it.
    void noteFailure(const HostId &host, MonotonicTime now);

    // The servers to probe now. Each is to be followed by noteProbe().
    std::vector<HostId> takeProbes(MonotonicTime now);
    void noteProbe(const HostId &host, ContactProbeResult result, MonotonicTime now);

    ContactState state() const { return m_state; }
    bool isSound() const { return m_state == ContactState::Sound; }
    // Whether connections failed at so many hosts that a failure says nothing of its host.
    bool hasManyFailures(MonotonicTime now) const;
    // Probes at the next call of takeProbes(), whether contact is in doubt or not.
    void requestProbe() { m_isProbeRequested = true; }
    // When a probe was last answered; the clock's epoch if never.
    MonotonicTime provenAt() const { return m_provenAt; }
    bool isLost() const { return m_state == ContactState::Lost; }

private:
    bool isSilent(MonotonicTime now) const;
    bool isDoubtful(MonotonicTime now) const;
    std::vector<HostId> drawProbes(std::size_t count);

    ServerContactOptions m_options;
    Random m_random;
    std::vector<HostId> m_hosts;
    ContactState m_state = ContactState::Sound;
    int m_waiting = 0; // Invariant: calls of noteSent() minus calls of noteEnded().
    MonotonicTime m_waitingSince; // When m_waiting last became 1.
    MonotonicTime m_lastArrival;
    MonotonicTime m_provenAt;
    bool m_isProbeRequested = false;
    std::map<HostId, MonotonicTime> m_failures; // The last of each host; older ones are dropped.
    std::set<HostId> m_probing; // Probes in progress.
    std::set<HostId> m_failedProbes; // Since contact came into doubt.
    MonotonicTime m_probedAt; // When the last probe began.
};

} // namespace ramphinge
