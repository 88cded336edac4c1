// Changes of configuration: see config_changer.h.

#include "ramphinge/control/config_changer.h"

#include <algorithm>

#include "ramphinge/control/keys.h"

namespace ramphinge {

namespace {

constexpr std::size_t rememberedChanges = 16;

std::string listOf(const std::vector<DaemonId> &daemons)
{
    std::string text;
    for (const DaemonId &daemon : daemons)
        text += (text.empty() ? "" : ", ") + daemon.text();
    return text;
}

template <typename T> bool contains(const std::vector<T> &list, const T &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

Error nothingChanged(const Error &cause)
{
    return { ErrorKind::Unavailable,
             "the platform can't be asked now (" + cause.message()
                 + "); nothing was changed, apply it again later" };
}

} // namespace

void ConfirmationBoard::confirm(const ChangeId &change, const DaemonId &daemon, bool accepts,
                                const std::string &message)
{
    const std::lock_guard lock(m_mutex);
    // Answers about earlier changes may arrive late or twice; they must not evict the current
    // change.
    if (m_answers.count(change) == 0) {
        m_changes.push_back(change);
        if (m_changes.size() > rememberedChanges) {
            m_answers.erase(m_changes.front());
            m_changes.pop_front();
        }
    }
    m_answers[change][daemon] = { accepts, message };
    m_changed.notify_all();
}

void ConfirmationBoard::inForce(ConfigVersion version, const DaemonId &daemon)
{
    const std::lock_guard lock(m_mutex);
    m_versions[daemon] = std::max(m_versions[daemon], version);
    m_changed.notify_all();
}

std::vector<DaemonId> ConfirmationBoard::awaitConfirmations(const ChangeId &change,
                                                            const std::vector<DaemonId> &daemons,
                                                            Duration limit, std::string &refusal)
{
    std::vector<DaemonId> missing;
    const auto decided = [&] {
        missing.clear();
        refusal.clear();
        for (const DaemonId &daemon : daemons) {
            const auto answers = m_answers.find(change);
            const bool known = answers != m_answers.end() && answers->second.count(daemon) > 0;
            if (!known)
                missing.push_back(daemon);
            else if (!answers->second.at(daemon).accepts && refusal.empty())
                refusal = daemon.text() + ": " + answers->second.at(daemon).message;
        }
        return missing.empty() || !refusal.empty();
    };
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, decided);
    decided();
    return missing;
}

std::vector<DaemonId> ConfirmationBoard::awaitInForce(ConfigVersion version,
                                                      const std::vector<DaemonId> &daemons,
                                                      Duration limit)
{
    std::vector<DaemonId> missing;
    const auto everywhere = [&] {
        missing.clear();
        for (const DaemonId &daemon : daemons) {
            const auto known = m_versions.find(daemon);
            if (known == m_versions.end() || known->second < version)
                missing.push_back(daemon);
        }
        return missing.empty();
    };
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, everywhere);
    everywhere();
    return missing;
}

Result<ConfigChanger::Current> ConfigChanger::readCurrent()
{
    const Result<std::optional<StoredValue>> stored = m_store.read(configKey);
    if (!stored.ok())
        return stored.error();
    Current current;
    if (!stored.value())
        return current;
    const Result<ConfigState> state = parseConfigState(stored.value()->value);
    if (!state.ok())
        return state.error();
    current.state = state.value();
    current.revision = stored.value()->revision;
    return current;
}

Result<ChangeResult> ConfigChanger::apply(const ChangeRequest &request)
{
    const Result<Current> current = readCurrent();
    if (!current.ok())
        return nothingChanged(current.error());
    if (const Status free = checkNoProposal(current.value()); !free.ok())
        return free.error();
    const Result<AcceptedConfigPtr> next = prepare(request, current.value());
    if (!next.ok())
        return next.error();
    const MonotonicTime begun = m_clock.now();
    const Result<Revision> proposed = propose(current.value(), next.value());
    if (!proposed.ok())
        return proposed.error();
    std::vector<DaemonId> daemons;
    const ChangeId change = next.value()->record.change;
    if (const Status confirmed = gatherConfirmations(request, next.value(), daemons);
        !confirmed.ok()) {
        withdraw(current.value(), change, proposed.value());
        return confirmed.error();
    }
    if (const Status accepted = accept(current.value(), next.value(), proposed.value());
        !accepted.ok()) {
        if (accepted.error().kind() == ErrorKind::Unavailable)
            withdraw(current.value(), change, proposed.value());
        return accepted.error();
    }
    ChangeResult result;
    result.version = next.value()->record.version;
    result.change = change;
    result.diff = next.value()->record.diff;
    result.decidedIn = m_clock.now() - begun;
    result.notYetInForce = m_board.awaitInForce(result.version, daemons, m_options.inForceLimit);
    result.inForceIn = m_clock.now() - begun;
    return result;
}

Status ConfigChanger::checkNoProposal(const Current &current)
{
    if (!current.state.proposal)
        return Done {};
    if (m_seenProposal != current.revision) {
        m_seenProposal = current.revision;
        m_seenProposalAt = m_clock.now();
    }
    // Its proposer would have decided by now; if not, its compare-and-swap fails after this write.
    if (m_clock.now() - m_seenProposalAt >= m_options.staleProposal)
        return Done {};
    const ChangeRecord &record = current.state.proposal->record;
    return Error(ErrorKind::Conflict,
                 "change " + record.change.text() + " of " + record.who
                     + " is being decided; apply yours again when it is. It changes: "
                     + record.diff.dump());
}

Result<AcceptedConfigPtr> ConfigChanger::prepare(const ChangeRequest &request,
                                                 const Current &current)
{
    const AcceptedConfigPtr &base = current.state.accepted;
    const ConfigVersion version = base ? base->record.version : ConfigVersion(0);
    if (request.expectedVersion && *request.expectedVersion != version) {
        const Result<Configuration> wanted = parseConfiguration(request.document);
        const std::string difference = wanted.ok() && base
            ? describeDiff(base->configuration, wanted.value()).dump()
            : std::string("(none)");
        return Error(ErrorKind::Conflict,
                     "version " + std::to_string(version.count()) + " of "
                         + (base ? base->record.who : "nobody") + " is accepted by now, not "
                         + std::to_string(request.expectedVersion->count())
                         + "; your document would change it by " + difference
                         + "; merge and apply again");
    }
    ChangeRecord record;
    record.change = ChangeId(m_random.token());
    record.who = request.who.name;
    record.when = m_clock.wallNow();
    record.withoutZones = request.withoutZones;
    record.withoutDaemons = request.withoutDaemons;
    // Higher than an abandoned proposal's version, too: versions are never reused.
    record.version = current.state.proposal ? current.state.proposal->record.version : version;
    const Result<AcceptedConfigPtr> next = makeSuccessor(base, request.document, record);
    if (!next.ok())
        return next.error();
    if (const Status allowed = checkAuthority(request.who, base, *next.value()); !allowed.ok())
        return allowed.error();
    const Configuration before = base ? base->configuration : Configuration();
    if (const Status steps = checkHoldingSteps(before, next.value()->configuration); !steps.ok())
        return steps.error();
    if (const Status taken = checkTakenHoldings(base, *next.value()); !taken.ok())
        return taken.error();
    return next;
}

Status ConfigChanger::checkTakenHoldings(const AcceptedConfigPtr &base, const AcceptedConfig &next)
{
    if (!base)
        return Done {};
    for (const TakenHolding &taken : takenHoldings(base->configuration, next.configuration)) {
        const std::string &address = base->configuration.otherSide().administration;
        const Result<Holding> theirs = m_otherSide.holding(address, taken.account);
        if (!theirs.ok())
            return Error(ErrorKind::Unavailable,
                         "the other side can't be asked whether it has let go of "
                             + taken.account.text() + " (" + theirs.error().message()
                             + "); nothing was changed, try again");
        if (theirs.value().phase != HoldingPhase::There || theirs.value().epoch != taken.epoch)
            return Error(ErrorKind::Conflict,
                         "the other side still holds " + taken.account.text() + " ("
                             + toString(theirs.value().phase) + ", epoch "
                             + std::to_string(theirs.value().epoch.count())
                             + "); finish its part of the handover first");
    }
    return Done {};
}

Result<Revision> ConfigChanger::propose(const Current &current, const AcceptedConfigPtr &next)
{
    ConfigState state = current.state;
    state.proposal = next;
    state.proposer = m_options.daemon;
    const Result<Revision> written =
        m_store.compareAndSwap(configKey, serialize(state), current.revision, noLease);
    if (written.ok())
        return written;
    if (written.error().kind() == ErrorKind::Conflict)
        return Error(ErrorKind::Conflict,
                     "another change came first; look at it with "
                     "\"ramphingectl history\" and apply again");
    if (written.error().kind() != ErrorKind::Unknown)
        return nothingChanged(written.error());
    const Result<Current> found = readBack();
    if (!found.ok())
        return Error(ErrorKind::Unavailable,
                     "the proposal's answer was lost and can't be read back; it will not be "
                     "accepted, apply it again later");
    const AcceptedConfigPtr &proposal = found.value().state.proposal;
    if (proposal && proposal->record.change == next->record.change)
        return found.value().revision;
    return Error(ErrorKind::Conflict, "another change came first; apply again");
}

Result<std::vector<DaemonId>> ConfigChanger::confirmers(const ChangeRequest &request)
{
    std::vector<DaemonId> daemons;
    for (const ZoneId &zone : m_options.zones) {
        if (contains(request.withoutZones, zone))
            continue;
        Result<ZonePresence> presence = readPresence(m_store, zone);
        if (!presence.ok())
            return nothingChanged(presence.error());
        auto &roster = presence.value().roster.daemons;
        const std::vector<DaemonId> registered = presence.value().registeredIds();
        for (const DaemonId &left : request.withoutDaemons) {
            if (contains(registered, left))
                return Error(ErrorKind::InvalidInput,
                             left.text()
                                 + " is registered and can't be left out; leave out only "
                                   "daemons that are gone");
            roster.erase(std::remove(roster.begin(), roster.end(), left), roster.end());
        }
        if (!presence.value().hasMajority()) {
            std::vector<DaemonId> absent;
            for (const DaemonId &daemon : roster) {
                if (!contains(registered, daemon))
                    absent.push_back(daemon);
            }
            return Error(ErrorKind::Unavailable,
                         "zone " + zone.text() + " can't confirm: "
                             + (absent.empty() ? "it has no registered daemon"
                                               : listOf(absent) + " out of reach")
                             + ". It may be cut off and serving the old configuration. If you know "
                               "that these are stopped, apply with --without-daemon; if the whole "
                               "zone is, with --without-zone");
        }
        daemons.insert(daemons.end(), registered.begin(), registered.end());
    }
    return daemons;
}

Status ConfigChanger::gatherConfirmations(const ChangeRequest &request,
                                          const AcceptedConfigPtr &next,
                                          std::vector<DaemonId> &daemons)
{
    // Listed after the proposal was written: daemons that register later read it then.
    const Result<std::vector<DaemonId>> listed = confirmers(request);
    if (!listed.ok())
        return listed.error();
    daemons = listed.value();
    std::string refusal;
    const std::vector<DaemonId> missing =
        m_board.awaitConfirmations(next->record.change, daemons, m_options.confirmLimit, refusal);
    if (!refusal.empty())
        return Error(ErrorKind::InvalidInput, "a daemon refused the change: " + refusal);
    if (missing.empty())
        return Done {};
    // Daemons that were lost meanwhile may have been needed for the majority, so it is checked
    // again.
    const Result<std::vector<DaemonId>> again = confirmers(request);
    if (!again.ok())
        return again.error();
    daemons = again.value();
    const std::vector<DaemonId> still =
        m_board.awaitConfirmations(next->record.change, daemons, m_options.confirmLimit, refusal);
    if (still.empty() && refusal.empty())
        return Done {};
    return Error(ErrorKind::Unavailable,
                 listOf(still) + " did not confirm in time; nothing was changed, apply it again");
}

Status ConfigChanger::accept(const Current &before, const AcceptedConfigPtr &next,
                             Revision proposalRevision)
{
    const ConfigState state = acceptedState(before.state, next);
    const Result<Revision> written =
        m_store.compareAndSwap(configKey, serialize(state), proposalRevision, noLease);
    if (written.ok())
        return Done {};
    if (written.error().kind() == ErrorKind::Conflict)
        return Error(ErrorKind::Conflict,
                     "another change overtook this one; nothing of it was "
                     "accepted, apply it again");
    if (written.error().kind() == ErrorKind::Unavailable)
        return nothingChanged(written.error());
    const ChangeId &change = next->record.change;
    const Result<Current> found = readBack();
    if (!found.ok())
        return Error(ErrorKind::Unknown,
                     "the platform's answer was lost and it can't be asked; whether change "
                         + change.text() + " was accepted, \"ramphingectl history\" will tell");
    if (wasAccepted(found.value().state, change))
        return Done {};
    return Error(ErrorKind::Unavailable, "the write was lost; nothing was changed, apply it again");
}

void ConfigChanger::withdraw(const Current &before, const ChangeId &change,
                             Revision proposalRevision)
{
    ConfigState state = before.state;
    state.proposal = nullptr;
    state.proposer = DaemonId();
    Revision revision = proposalRevision;
    for (int i = 0; i < m_options.readBackTries; ++i) {
        const Result<Revision> written =
            m_store.compareAndSwap(configKey, serialize(state), revision, noLease);
        if (written.ok() || written.error().kind() == ErrorKind::Conflict)
            return;
        m_sleep(m_options.readBackPause);
        const Result<Current> found = readCurrent();
        const bool stands = found.ok() && found.value().state.proposal
            && found.value().state.proposal->record.change == change;
        if (found.ok() && !stands)
            return;
        if (found.ok())
            revision = found.value().revision;
    }
}

Result<ConfigChanger::Current> ConfigChanger::readBack()
{
    Result<Current> found = readCurrent();
    for (int i = 1; i < m_options.readBackTries && !found.ok(); ++i) {
        m_sleep(m_options.readBackPause);
        found = readCurrent();
    }
    return found;
}

} // namespace ramphinge
