// The view of the platform's keys: see store_view.h.

#include "ramphinge/control/store_view.h"

#include <algorithm>

namespace ramphinge {

std::vector<DaemonRecord> StoreView::daemonsIn(const ZoneId &zone) const
{
    std::vector<DaemonRecord> found;
    for (const DaemonRecord &record : m_daemons) {
        if (record.zone == zone)
            found.push_back(record);
    }
    return found;
}

const DaemonRecord *StoreView::daemon(const DaemonId &id) const
{
    for (const DaemonRecord &record : m_daemons) {
        if (record.daemon == id)
            return &record;
    }
    return nullptr;
}

ZoneRoster StoreView::roster(const ZoneId &zone) const
{
    const auto found = m_rosters.find(zone);
    return found == m_rosters.end() ? ZoneRoster { zone, {} } : found->second;
}

const ZonePlan *StoreView::plan(const ZoneId &zone) const
{
    for (const ZonePlan &plan : m_plans) {
        if (plan.zone == zone)
            return &plan;
    }
    return nullptr;
}

const SlotOwner *StoreView::owner(const SlotId &slot) const
{
    const auto found = m_owners.find(slot);
    return found == m_owners.end() ? nullptr : &found->second;
}

const ReignRecord *StoreView::reign(const SlotId &slot) const
{
    const auto found = m_reigns.find(slot);
    return found == m_reigns.end() ? nullptr : &found->second;
}

const RoleRecord *StoreView::planner(const ZoneId &zone) const
{
    const auto found = m_planners.find(zone);
    return found == m_planners.end() ? nullptr : &found->second;
}

void StoreViewBuilder::reset(const std::vector<StoredEntry> &entries, Revision upTo)
{
    if (upTo < m_upTo)
        return;
    m_values.clear();
    for (const StoredEntry &entry : entries) {
        m_values[entry.key] = entry.stored;
        m_newest[entry.key] = entry.stored.revision;
    }
    m_upTo = upTo;
}

void StoreViewBuilder::apply(const WatchBatch &batch)
{
    if (batch.upTo < m_upTo)
        return;
    for (const StoreChange &change : batch.changes) {
        const Revision revision = change.stored ? change.stored->revision : batch.upTo;
        Revision &newest = m_newest[change.key];
        if (revision < newest)
            continue;
        newest = revision;
        if (change.stored)
            m_values[change.key] = *change.stored;
        else
            m_values.erase(change.key);
    }
    m_upTo = batch.upTo;
}

StoreViewPtr StoreViewBuilder::build(std::vector<Error> &problems)
{
    auto view = std::make_shared<StoreView>();
    view->m_upTo = m_upTo;
    const auto take = [&problems](const auto &parsed, const auto &use) {
        if (parsed.ok())
            use(parsed.value());
        else
            problems.push_back(parsed.error());
    };
    for (const auto &[key, stored] : m_values) {
        const ParsedKey parsed = parseKey(key);
        const std::string &value = stored.value;
        const Revision revision = stored.revision;
        switch (parsed.kind) {
        case KeyKind::Config:
            if (m_parsedConfigRevision != revision) {
                take(parseConfigState(value), [&](const ConfigState &state) {
                    m_parsedConfig = state;
                    m_parsedConfigRevision = revision;
                });
            }
            view->m_config = m_parsedConfig;
            view->m_configRevision = revision;
            break;
        case KeyKind::Daemon:
            take(parseDaemonRecord(value),
                 [&](const DaemonRecord &record) { view->m_daemons.push_back(record); });
            break;
        case KeyKind::Roster:
            take(parseRoster(value),
                 [&](const ZoneRoster &roster) { view->m_rosters[parsed.zone] = roster; });
            break;
        case KeyKind::Planner:
            take(parseRole(value),
                 [&](const RoleRecord &record) { view->m_planners[parsed.zone] = record; });
            break;
        case KeyKind::Plan:
            take(parsePlan(value), [&](const ReplicaPlan &plan) {
                view->m_plans.push_back({ parsed.zone, plan, revision });
            });
            break;
        case KeyKind::Owner:
            take(parseRole(value), [&](const RoleRecord &record) {
                const SlotId slot { parsed.zone, SlotNumber(std::atoi(parsed.name.c_str())) };
                view->m_owners[slot] = { slot, record.daemon, record.incarnation };
            });
            break;
        case KeyKind::Reign:
            take(parseReign(value), [&](const ReignRecord &record) {
                const SlotId slot { parsed.zone, SlotNumber(std::atoi(parsed.name.c_str())) };
                view->m_reigns[slot] = record;
            });
            break;
        case KeyKind::Other:
            break;
        }
    }
    return view;
}

} // namespace ramphinge
