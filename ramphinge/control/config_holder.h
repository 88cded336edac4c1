// The configuration that this daemon serves, and the proposal that it has confirmed.
//
// Versions only increase. A proposal is kept from before its confirmation until a newer state of
// the platform's key shows the outcome.

#pragma once

#include <optional>

#include "ramphinge/control/documents.h"

namespace ramphinge {

// Not thread-safe: lives on the I/O loop.
class ConfigHolder
{
public:
    // What an update changed.
    struct News
    {
        bool accepted = false; // A newer configuration was accepted; apply it.
        bool prepared = false; // There is a proposal to confirm to its proposer.
    };

    // Applies a state of the platform's key; older ones are ignored.
    News onState(const ConfigState &state, Revision revision);

    // Applies the accepted and the confirmed configuration of a peer.
    News onPeer(const AcceptedConfigPtr &accepted, const AcceptedConfigPtr &prepared);

    const AcceptedConfigPtr &accepted() const { return m_accepted; }

    // Null if no proposal is pending.
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
