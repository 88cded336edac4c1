// Weighted fair queueing between client accounts, in tokens, for the replicas of one model.
//
// Start-time fair queueing (Goyal et al. 1996): each account has a virtual time, its service in
// tokens over its weight; a free place goes to the waiting account that is furthest behind. What a
// request costs is known only at its end, so it is charged an estimate when it starts and corrected
// afterwards. An account that was idle starts at the present virtual time: it saves up nothing, and
// what others took meanwhile was lent to them. Service that other daemons gave the account is added
// in the same way, which makes the shares hold over all daemons without a call per request.
//
//   if (auto refused = queue.offer(ticket, now)) answer(*refused);
//   while (freeSlots-- > 0) if (auto ticket = queue.pop(now)) start(*ticket);
//   queue.settle(account, estimate, actual);

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

using TicketNumber = Quantity<struct TicketTag>;

// One waiting request.
struct Ticket
{
    TicketNumber number; // Unique in the daemon.
    AccountId account;
    int priority = 0; // Higher goes first, within its account.
    Tokens estimate; // Prompt plus expected answer.
    MonotonicTime startBy; // Of no use to its caller if started later.
};

// So many tokens of one account: a weight, or a service.
struct AccountTokens
{
    AccountId account;
    Tokens tokens;
};

// A refusal, and when to come back.
struct Refusal
{
    Error error;
    Duration retryAfter;
};

struct FairQueueOptions
{
    int maxWaiting = 2000; // Over all accounts.
    int maxWaitingPerAccount = 500;
    Duration rateWindow = std::chrono::seconds(2); // Over which service is measured.
    Duration recent = std::chrono::seconds(5); // For recentAccounts().
    double safety = 0.8; // Refuses early when the estimated wait is over this part of what is left.
};

// Not thread-safe: lives on the request loop.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options);

    // Weights in tokens per second, as configured. Accounts without one have weight 1.
    void setWeights(const std::vector<AccountTokens> &weights);

    // Takes the ticket in, or says why it can't be served in time.
    std::optional<Refusal> offer(const Ticket &ticket, MonotonicTime now);

    // Whom a free place may go to.
    enum class Admit {
        All,
        NotBacklogged, // Only tickets that found none of their account waiting.
    };

    // The next to start, charged with its estimate. Tickets past their startBy stay until their
    // owner removes them, but are not returned.
    std::optional<Ticket> pop(MonotonicTime now, Admit admit = Admit::All);

    // Accounts that have asked for something lately.
    int recentAccounts(MonotonicTime now) const;

    // Removes a ticket whose owner gave up; false if it is not waiting.
    bool remove(TicketNumber number);

    // Corrects the charge of a request that has ended, and counts its service.
    void settle(const AccountId &account, Tokens estimate, Tokens actual, MonotonicTime now);

    // Service given to the account by other daemons since the last call.
    void addRemoteService(const AccountId &account, Tokens tokens);

    // How long a new request of the account would wait, from the measured rate.
    Duration expectedWait(const AccountId &account, MonotonicTime now) const;

    int waiting() const { return m_waiting; }
    bool hasWaiting() const { return m_waiting > 0; }

    // Own service to each account since the last call: what peers are told.
    std::vector<AccountTokens> takeServiceSinceLast();

private:
    struct Order
    {
        bool operator()(const Ticket &a, const Ticket &b) const;
    };
    struct Account
    {
        double weight = 1;
        double finish = 0; // Virtual time at which its charged service ends.
        std::set<Ticket, Order> queue;
        TicketNumber firstInQueue; // The ticket that found none waiting; 0 once it has gone.
        MonotonicTime lastOffer;
        Tokens queued;
        int inService = 0;
        Tokens unreported;
    };

    double serviceRate(MonotonicTime now) const;
    double busyWeight() const;
    void forgetOldService(MonotonicTime now);

    FairQueueOptions m_options;
    std::map<AccountId, Account> m_accounts;
    std::map<TicketNumber, AccountId> m_index; // Invariant: exactly the waiting tickets.
    double m_virtualTime = 0; // Never falls.
    int m_waiting = 0;
    std::deque<std::pair<MonotonicTime, Tokens>> m_served; // Within the rate window.
    Tokens m_servedSum;
};

} // namespace ramphinge
