// Descriptions of upstream servers: see upstream_server.h.

#include "ramphinge/fleet/upstream_server.h"

#include <algorithm>

namespace ramphinge {

const char *toString(MembershipState state)
{
    switch (state) {
    case MembershipState::Joining:
        return "joining";
    case MembershipState::Ready:
        return "ready";
    case MembershipState::Open:
        return "open";
    case MembershipState::Closing:
        return "closing";
    case MembershipState::Broken:
        return "broken";
    }
    return "broken";
}

bool UpstreamServer::hasStaged(const ModelId &wanted) const
{
    return std::find(stagedModels.begin(), stagedModels.end(), wanted) != stagedModels.end();
}

bool UpstreamServer::isWarmFor(const ModelId &wanted) const
{
    return model == wanted || lastModel == wanted || hasStaged(wanted);
}

bool UpstreamServer::isMemberOf(const ReplicaId &replica, Epoch epoch) const
{
    return membership && membership->replica == replica && membership->epoch == epoch;
}

} // namespace ramphinge
