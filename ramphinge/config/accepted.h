// A configuration as it is kept at the platform and passed between daemons: numbered, signed with
// who changed it and when. Versions only grow; a daemon never goes back to a lower one.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ramphinge/base/time.h"
#include "ramphinge/config/configuration.h"

namespace ramphinge {

using ConfigVersion = Quantity<struct ConfigVersionTag>;

struct ChangeRecord
{
    ConfigVersion version;
    ChangeId change;
    std::string who;
    WallTime when;
    std::vector<ZoneId> withoutZones; // Zones that the operator excluded from confirming.
    std::vector<DaemonId> withoutDaemons;
    nlohmann::json diff; // From the version before, expanded.
};

// Immutable; shared between threads.
struct AcceptedConfig
{
    ChangeRecord record;
    nlohmann::json document;
    Configuration configuration;
};
using AcceptedConfigPtr = std::shared_ptr<const AcceptedConfig>;

std::string serialize(const AcceptedConfig &config);

// Errors: InvalidInput.
Result<AcceptedConfigPtr> parseAccepted(const std::string &text);

// The configuration that a proposal would make of `base` (null: none yet). Its version is above
// that of `base` and above `record.version`.
Result<AcceptedConfigPtr> makeSuccessor(const AcceptedConfigPtr &base,
                                        const nlohmann::json &document, ChangeRecord record);

// Whether `who` may make this change: operators of a team may change its accounts only.
Status checkAuthority(const Operator &who, const AcceptedConfigPtr &base,
                      const AcceptedConfig &next);

// Whether each account's holding moves by one allowed step: here to draining (next epoch), draining
// back to here (next epoch) or to there (same epoch), there to here (a later epoch, with its time).
Status checkHoldingSteps(const Configuration &before, const Configuration &after);

// Accounts whose work this side takes over by the change: the other side must have let go of them.
struct TakenHolding
{
    AccountId account;
    Epoch epoch;
};
std::vector<TakenHolding> takenHoldings(const Configuration &before, const Configuration &after);

// Expanded difference as JSON patch operations (RFC 6902), with "old" added where there was a
// value.
nlohmann::json describeDiff(const Configuration &before, const Configuration &after);

} // namespace ramphinge
