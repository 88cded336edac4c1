// A configuration as it is stored on the platform and passed between daemons: with its version and
// a record of who changed it and when. Versions only grow; a daemon never goes back to a lower one.

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
    // Zones and daemons whose confirmation the operator waived for this change.
    std::vector<ZoneId> withoutZones;
    std::vector<DaemonId> withoutDaemons;
    nlohmann::json diff; // From the previous version; see describeDiff().
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

// Returns the configuration that `document` would make of `base` (null: none yet). Its version is
// above that of `base` and above `record.version`. Errors: InvalidInput.
Result<AcceptedConfigPtr> makeSuccessor(const AcceptedConfigPtr &base,
                                        const nlohmann::json &document, ChangeRecord record);

// Checks that `who` may make this change: operators of a team may only change its accounts. Errors:
// Unauthorized.
Status checkAuthority(const Operator &who, const AcceptedConfigPtr &base,
                      const AcceptedConfig &next);

// Checks that each account's holding makes at most one allowed step: here to draining (next epoch),
// draining back to here (next epoch) or to there (same epoch), there to here (a later epoch, with
// the time). Errors: InvalidInput.
Status checkHoldingSteps(const Configuration &before, const Configuration &after);

// An account whose requests this side takes over by the change; the other side must have released
// it.
struct TakenHolding
{
    AccountId account;
    Epoch epoch;
};

// Returns the accounts whose holding goes from there to here.
std::vector<TakenHolding> takenHoldings(const Configuration &before, const Configuration &after);

// Returns the difference of the expanded forms as JSON patch operations (RFC 6902), with the
// replaced or removed value added as "old".
nlohmann::json describeDiff(const Configuration &before, const Configuration &after);

} // namespace ramphinge
