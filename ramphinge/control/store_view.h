// This daemon's view of the platform's keys: an immutable value that is replaced as a whole.
//
// A key never reverts to an older revision, in whichever order answers arrive.

#pragma once

#include <map>
#include <memory>
#include <vector>

#include "ramphinge/control/documents.h"
#include "ramphinge/control/keys.h"
#include "ramphinge/replicas/plan.h"

namespace ramphinge {

struct ZonePlan
{
    ZoneId zone;
    ReplicaPlan plan;
    Revision revision;
};

struct SlotOwner
{
    SlotId slot;
    DaemonId daemon;
    std::string incarnation;
};

// Immutable; safe to share between threads.
class StoreView
{
public:
    const ConfigState &config() const { return m_config; }
    Revision configRevision() const { return m_configRevision; }
    const std::vector<DaemonRecord> &daemons() const { return m_daemons; }
    std::vector<DaemonRecord> daemonsIn(const ZoneId &zone) const;
    const DaemonRecord *daemon(const DaemonId &id) const;
    ZoneRoster roster(const ZoneId &zone) const; // Empty if there is none.
    const std::vector<ZonePlan> &plans() const { return m_plans; }
    const ZonePlan *plan(const ZoneId &zone) const;
    const SlotOwner *owner(const SlotId &slot) const;
    const ReignRecord *reign(const SlotId &slot) const;
    const RoleRecord *planner(const ZoneId &zone) const;
    Revision upTo() const { return m_upTo; }

private:
    friend class StoreViewBuilder;

    ConfigState m_config;
    Revision m_configRevision;
    std::vector<DaemonRecord> m_daemons;
    std::map<ZoneId, ZoneRoster> m_rosters;
    std::vector<ZonePlan> m_plans;
    std::map<SlotId, SlotOwner> m_owners;
    std::map<SlotId, ReignRecord> m_reigns;
    std::map<ZoneId, RoleRecord> m_planners;
    Revision m_upTo;
};
using StoreViewPtr = std::shared_ptr<const StoreView>;

// Builds views from the store's changes. Not thread-safe: used by the watching actor.
class StoreViewBuilder
{
public:
    // Replaces all keys by a listing as of `upTo`.
    void reset(const std::vector<StoredEntry> &entries, Revision upTo);

    void apply(const WatchBatch &batch);

    // The current view. Documents that can't be parsed are omitted and listed in `problems`.
    StoreViewPtr build(std::vector<Error> &problems);

private:
    std::map<StoreKey, StoredValue> m_values;
    std::map<StoreKey, Revision> m_newest; // Includes deleted keys.
    Revision m_upTo;

    // Cached, since parsing is expensive and most changes are to other keys.
    ConfigState m_parsedConfig;
    Revision m_parsedConfigRevision;
};

} // namespace ramphinge
