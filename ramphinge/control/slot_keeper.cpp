// Acquiring slots: see slot_keeper.h.

#include "ramphinge/control/slot_keeper.h"

#include <algorithm>

#include "ramphinge/control/majority.h"

namespace ramphinge {

std::vector<SlotReign> SlotKeeper::step(const StoreView &view,
                                        const RegistrationState &registration)
{
    std::vector<SlotReign> won;
    if (registration.registration != Registration::Registered)
        return won;
    std::vector<SlotId> vacant;
    for (int number = 0; number < m_options.slots; ++number) {
        const SlotId slot { m_options.zone, SlotNumber(number) };
        const auto held = m_heldUnder.find(slot);
        const bool ours = held != m_heldUnder.end() && held->second == registration.lease;
        if (!ours && view.owner(slot) == nullptr && fallsToUs(slot, view))
            vacant.push_back(slot);
    }
    if (vacant.empty())
        return won;
    // Unregistered daemons may still serve their slots, unless a majority is registered.
    const Result<ZonePresence> presence = readPresence(m_store, m_options.zone);
    if (!presence.ok() || !presence.value().hasMajority())
        return won;
    for (const SlotId &slot : vacant) {
        if (!registration.term.mayAct(m_clock.now()))
            break;
        if (const std::optional<SlotReign> reign = win(slot, registration))
            won.push_back(*reign);
    }
    return won;
}

bool SlotKeeper::fallsToUs(const SlotId &slot, const StoreView &view) const
{
    std::vector<DaemonId> alive;
    for (const DaemonRecord &record : view.daemonsIn(m_options.zone))
        alive.push_back(record.daemon);
    if (std::find(alive.begin(), alive.end(), m_options.daemon) == alive.end())
        alive.push_back(m_options.daemon);
    // A daemon with the last owner's records has missed nothing.
    const ReignRecord *reign = view.reign(slot);
    if (reign != nullptr && std::find(alive.begin(), alive.end(), reign->copyAt) != alive.end())
        return reign->copyAt == m_options.daemon;
    return preferredHolder(slot, alive) == m_options.daemon;
}

std::optional<SlotReign> SlotKeeper::win(const SlotId &slot, const RegistrationState &registration)
{
    const RoleRecord record { m_options.daemon, m_options.incarnation };
    const Result<Revision> owned = m_store.compareAndSwap(ownerKey(slot), serialize(record),
                                                          absentRevision, registration.lease);
    if (!owned.ok() && owned.error().kind() == ErrorKind::Unknown) {
        // This process's incarnation in the key tells whether the write took effect.
        const Result<std::optional<StoredValue>> now = m_store.read(ownerKey(slot));
        if (!now.ok() || !now.value() || now.value()->value != serialize(record))
            return std::nullopt;
    } else if (!owned.ok()) {
        return std::nullopt;
    }
    const std::optional<SlotReign> reign = beginReign(slot);
    if (reign)
        m_heldUnder[slot] = registration.lease;
    return reign;
}

std::optional<SlotReign> SlotKeeper::beginReign(const SlotId &slot)
{
    const Result<std::optional<StoredValue>> stored = m_store.read(reignKey(slot));
    if (!stored.ok())
        return std::nullopt;
    ReignRecord last;
    Revision revision = absentRevision;
    if (stored.value()) {
        const Result<ReignRecord> parsed = parseReign(stored.value()->value);
        if (!parsed.ok())
            return std::nullopt;
        last = parsed.value();
        revision = stored.value()->revision;
    }
    SlotReign reign { slot, last.number, false, 0, WallTime() };
    const auto own = m_reigns.find(slot);
    if (last.number > 0 && own != m_reigns.end() && own->second == last.number
        && last.incarnation == m_options.incarnation) {
        reign.continued = true;
        return reign;
    }
    reign.number = last.number + 1;
    const ReignRecord next { reign.number, m_options.daemon, m_options.incarnation, {}, {} };
    const Result<Revision> begun =
        m_store.compareAndSwap(reignKey(slot), serialize(next), revision, noLease);
    // After a lost answer the next step finds a reign of this daemon without records, and treats it
    // as another daemon's.
    if (!begun.ok())
        return std::nullopt;
    if (mayAdopt(slot, last))
        reign.adoptedFrom = last.number;
    if (last.number > 0)
        reign.soleOwnerSince = m_clock.wallNow();
    m_reigns[slot] = reign.number;
    return reign;
}

bool SlotKeeper::mayAdopt(const SlotId &slot, const ReignRecord &last) const
{
    const auto handed = m_handedOver.find(slot);
    if (last.number > 0 && handed != m_handedOver.end() && handed->second == last.number)
        return true;
    // A copy is complete only while the record names its holder.
    const auto copy = m_copies.find(slot);
    return last.number > 0 && copy != m_copies.end() && copy->second == last.number
        && last.copyAt == m_options.daemon && last.copyIncarnation == m_options.incarnation;
}

bool SlotKeeper::recordCopy(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt,
                            const std::string &copyIncarnation)
{
    const Result<std::optional<StoredValue>> stored = m_store.read(reignKey(slot));
    if (!stored.ok() || !stored.value())
        return false;
    Result<ReignRecord> record = parseReign(stored.value()->value);
    if (!record.ok() || record.value().number != reign
        || record.value().incarnation != m_options.incarnation)
        return false;
    record.value().copyAt = copyAt;
    record.value().copyIncarnation = copyIncarnation;
    const std::string text = serialize(record.value());
    return m_store.compareAndSwap(reignKey(slot), text, stored.value()->revision, noLease).ok();
}

void SlotKeeper::release(const SlotId &slot, LeaseId lease)
{
    m_reigns.erase(slot);
    m_heldUnder.erase(slot);
    const Result<std::optional<StoredValue>> stored = m_store.read(ownerKey(slot));
    const RoleRecord ours { m_options.daemon, m_options.incarnation };
    if (lease != noLease && stored.ok() && stored.value()
        && stored.value()->value == serialize(ours))
        m_store.erase(ownerKey(slot), stored.value()->revision);
}

} // namespace ramphinge
