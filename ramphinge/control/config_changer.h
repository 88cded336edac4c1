// Carries out one change of the configuration: it is proposed, confirmed by every daemon that may
// serve, and accepted; or it is rejected without effect.
//
// The steps, and the state after a crash or a lost answer:
// 1. The proposal is written beside the accepted configuration, under one key. From here on every
//    registered daemon that sees it prepares it and confirms to the proposer.
// 2. All registered daemons must confirm, and they must be a majority of each zone's roster. Zones
//    and daemons that the operator names are excluded, which is recorded.
// 3. The accepted configuration is replaced by compare-and-swap on the proposal's revision, so a
//    proposer whose proposal was overwritten fails here.
// 4. The proposer waits until every daemon serves it, and reports those that don't.
//
// Blocking; used by one actor.

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>

#include "ramphinge/base/random.h"
#include "ramphinge/control/documents.h"
#include "ramphinge/control/majority.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

// Collects the daemons' answers about changes: written by the I/O loop, awaited by the changer.
// Thread-safe.
class ConfirmationBoard
{
public:
    void confirm(const ChangeId &change, const DaemonId &daemon, bool accepts,
                 const std::string &message);
    void inForce(ConfigVersion version, const DaemonId &daemon);

    // Waits until all of `daemons` have confirmed, one has rejected, or the timeout. Returns those
    // that have not confirmed; sets `refusal` to the first rejection.
    std::vector<DaemonId> awaitConfirmations(const ChangeId &change,
                                             const std::vector<DaemonId> &daemons, Duration limit,
                                             std::string &refusal);

    // Waits until all of `daemons` serve this version or a later one. Returns those that don't.
    std::vector<DaemonId> awaitInForce(ConfigVersion version, const std::vector<DaemonId> &daemons,
                                       Duration limit);

private:
    struct Answer
    {
        bool accepts = false;
        std::string message;
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    using Answers = std::map<DaemonId, Answer>;
    std::map<ChangeId, Answers> m_answers;
    std::deque<ChangeId> m_changes; // The keys of m_answers, oldest first; bounded.
    std::map<DaemonId, ConfigVersion> m_versions;
};

struct ChangeRequest
{
    nlohmann::json document;
    Operator who;
    std::optional<ConfigVersion> expectedVersion; // Rejected if another version is accepted.
    std::vector<ZoneId> withoutZones;
    std::vector<DaemonId> withoutDaemons;
};

struct ChangeResult
{
    ConfigVersion version;
    ChangeId change;
    nlohmann::json diff;
    std::vector<DaemonId> notYetInForce; // Expected to be empty.
    Duration decidedIn {}; // From the proposal to the acceptance.
    Duration inForceIn {}; // Until the last daemon's report.
};

// The other system of a migration, which is asked before its accounts are taken over.
class OtherSideClient
{
public:
    virtual ~OtherSideClient() = default;

    // Whether the other system serves the account. Errors: Unavailable.
    virtual Result<Holding> holding(const std::string &administration,
                                    const AccountId &account) = 0;
};

struct ConfigChangerOptions
{
    DaemonId daemon;
    std::vector<ZoneId> zones; // All zones of the deployment.
    Duration confirmLimit = std::chrono::seconds(3);
    Duration inForceLimit = std::chrono::seconds(5);
    // An abandoned proposal is overwritten after it has been unchanged for this long.
    Duration staleProposal = std::chrono::seconds(12);
    int readBackTries = 10;
    Duration readBackPause = std::chrono::milliseconds(300);
};

class ConfigChanger
{
public:
    // `sleep` suspends the actor's thread between attempts; tests advance their clock instead.
    ConfigChanger(PlatformStore &store, const Clock &clock, ConfigChangerOptions options,
                  ConfirmationBoard &board, OtherSideClient &otherSide,
                  std::function<void(Duration)> sleep, std::uint64_t seed)
        : m_store(store), m_clock(clock), m_options(std::move(options)), m_board(board),
          m_otherSide(otherSide), m_sleep(std::move(sleep)), m_random(seed)
    { }

    // Errors: InvalidInput, Unauthorized, Conflict (with the difference), Unavailable (nothing was
    // changed), Unknown (it may have been accepted; see the history).
    Result<ChangeResult> apply(const ChangeRequest &request);

private:
    struct Current
    {
        ConfigState state;
        Revision revision;
    };

    Result<Current> readCurrent();
    Status checkNoProposal(const Current &current);
    Status checkTakenHoldings(const AcceptedConfigPtr &base, const AcceptedConfig &next);
    Result<AcceptedConfigPtr> prepare(const ChangeRequest &request, const Current &current);
    Result<Revision> propose(const Current &current, const AcceptedConfigPtr &next);
    Result<std::vector<DaemonId>> confirmers(const ChangeRequest &request);
    Status gatherConfirmations(const ChangeRequest &request, const AcceptedConfigPtr &next,
                               std::vector<DaemonId> &daemons);
    Status accept(const Current &before, const AcceptedConfigPtr &next, Revision proposalRevision);
    void withdraw(const Current &before, const ChangeId &change, Revision proposalRevision);
    Result<Current> readBack();

    PlatformStore &m_store;
    const Clock &m_clock;
    ConfigChangerOptions m_options;
    ConfirmationBoard &m_board;
    OtherSideClient &m_otherSide;
    std::function<void(Duration)> m_sleep;
    Random m_random;
    Revision m_seenProposal; // Revision of another proposer's proposal, and when it was first seen.
    MonotonicTime m_seenProposalAt;
};

} // namespace ramphinge
