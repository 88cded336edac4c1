// The configuration that this daemon serves, and the proposal that it has confirmed.
//
// Versions only grow. A proposal is held from before it is confirmed until a newer state of the
// platform's key shows what became of it.

#pragma once

#include <optional>

#include "ramphinge/control/documents.h"

namespace ramphinge {

// Not thread-safe: lives on the I/O loop.
class ConfigHolder
{
public:
    // What became new by a step.
    struct News
    {
        bool accepted = false; // A newer accepted configuration: put it in force.
        bool prepared = false; // A proposal to confirm to its proposer.
    };

    // A state of the platform's key; older ones change nothing.
    News onState(const ConfigState &state, Revision revision);

    // From a peer: a configuration that it has, and one that it has confirmed.
    News onPeer(const AcceptedConfigPtr &accepted, const AcceptedConfigPtr &prepared);

    const AcceptedConfigPtr &accepted() const { return m_accepted; }

    // Null when nothing is undecided.
    const AcceptedConfigPtr &prepared() const { return m_prepared; }
    const DaemonId &proposer() const { return m_proposer; }
    const std::vector<ChangeRecord> &history() const { return m_history; }

    std::int64_t acceptedVersion() const;
    std::int64_t preparedVersion() const;

private:
    bool adopt(const AcceptedConfigPtr &config);

    AcceptedConfigPtr m_accepted;
    AcceptedConfigPtr m_prepared; // Invariant: newer than m_accepted.
    DaemonId m_proposer;
    std::vector<ChangeRecord> m_history;
    Revision m_revision;
};

} // namespace ramphinge
