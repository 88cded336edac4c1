// What is known of upstream hosts: the platform's lagging list, corrected by what daemons see.
//
// Each observation says when it was made, by its age at the time of sending, so that the newest
// wins whichever way it came. A host is unusable if the newest observation says that it doesn't
// answer, or if anybody has said that it is leaving; without any observation the platform's list
// decides.

#pragma once

#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

// One look at one host.
struct HostObservation
{
    HostId host;
    MonotonicTime madeAt; // By the local clock.
    bool answers = false;
    std::string incarnation; // Of the host's process; empty if it does not answer.

    // What it says it is.
    ReplicaId replica;
    Epoch epoch;
    int rank = -1;
    bool loaded = false;
    bool whole = true; // Its replica's other hosts answer it.
    ModelId model;
    int running = 0;
    int waiting = 0;
    int maxBatch = 32;
};

struct HostViewOptions
{
    // Older observations count for nothing: nobody looks at the host any more.
    Duration observationLife = std::chrono::seconds(5);
};

// Not thread-safe.
class HostView
{
public:
    explicit HostView(HostViewOptions options) : m_options(options) { }

    void setMembers(const MemberList &list);

    // True if it says something new about the host's health or place: worth telling at once.
    bool observe(const HostObservation &observation);

    const std::vector<Member> &members() const { return m_members.members; }
    const Member *member(const HostId &host) const;

    // The newest observation within its life, or null.
    const HostObservation *latest(const HostId &host, MonotonicTime now) const;

    // Whether new work may go to it.
    bool usable(const HostId &host, MonotonicTime now) const;
    std::set<HostId> unusableHosts(MonotonicTime now) const;

private:
    HostViewOptions m_options;
    MemberList m_members;
    std::map<HostId, HostObservation> m_latest;
};

// Which daemons look at a host: the `observers` best by rendezvous hashing among `alive`, so that
// the cost for each daemon stays flat as the fleet grows, and a lost daemon's hosts are spread.
bool isObserver(const DaemonId &self, const HostId &host, const std::vector<DaemonId> &alive,
                int observers);

} // namespace ramphinge
