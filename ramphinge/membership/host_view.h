// A daemon's view of upstream hosts: the platform's member list, which is delayed, corrected by the
// daemons' own observations.
//
// An observation is sent with its age, from which the receiver computes when it was made, so that
// the newest wins whichever way it arrives. A host is unusable if the list says that it is leaving,
// or if the newest observation says that it doesn't answer. Without a recent observation the list
// decides.

#pragma once

#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

// The result of one probe of a host.
struct HostObservation
{
    HostId host;
    MonotonicTime madeAt; // By the local clock.
    bool answers = false;
    std::string incarnation; // Of the host's process; empty if it doesn't answer.

    // The state that the host reported.
    ReplicaId replica;
    Epoch epoch;
    int rank = -1;
    bool loaded = false;
    bool whole = true; // All other hosts of its replica answer it.
    ModelId model;
    int running = 0;
    int waiting = 0;
    int maxBatch = 32;
};

struct HostViewOptions
{
    // Older observations are ignored: the host is no longer being probed.
    Duration maxObservationAge = std::chrono::seconds(5);
};

// Not thread-safe.
class HostView
{
public:
    explicit HostView(HostViewOptions options) : m_options(options) { }

    void setMembers(const MemberList &list);

    // True if the host's health, replica or incarnation changed, so that peers should hear of it at
    // once. Ignores observations that are not newer than the latest.
    bool observe(const HostObservation &observation);

    const std::vector<Member> &members() const { return m_members.members; }
    const Member *member(const HostId &host) const;

    // The newest observation, or null if there is none younger than `maxObservationAge`.
    const HostObservation *latest(const HostId &host, MonotonicTime now) const;

    // Whether new requests may go to the host.
    bool usable(const HostId &host, MonotonicTime now) const;
    std::set<HostId> unusableHosts(MonotonicTime now) const;

private:
    HostViewOptions m_options;
    MemberList m_members;
    std::map<HostId, HostObservation> m_latest;
};

// Whether the daemon `self` probes a host: the `observers` daemons of `alive` with the highest
// rendezvous scores do, so that the cost for each daemon stays constant as the fleet grows and the
// hosts of a lost daemon are spread over the others.
bool isObserver(const DaemonId &self, const HostId &host, const std::vector<DaemonId> &alive,
                int observers);

} // namespace ramphinge
