// Weighted fair queueing between client accounts, in tokens, for the replicas of one model.
//
// Start-time fair queueing (Goyal et al. 1996): each account has a virtual time, which is the
// service it received in tokens divided by its weight. A free slot goes to the waiting account with
// the lowest virtual time. The cost of a request is known only when it ends, so an estimate is
// charged at the start and corrected afterwards. An account that was idle resumes at the current
// virtual time: it accumulates no credit for capacity that others used meanwhile. Service that
// other daemons gave the account is charged in the same way, so the shares hold over all daemons
// without a call per request.
//
//   if (auto refused = queue.offer(ticket, now)) answer(*refused);
//   while (freeSlots-- > 0) if (auto ticket = queue.pop(now)) start(*ticket);
//   queue.settle(account, estimate, actual, now);

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

// A waiting request.
struct Ticket
{
    TicketNumber number; // Unique within the daemon.
    AccountId account;
    int priority = 0; // Higher starts first among the account's tickets.
    Tokens estimate; // Prompt plus expected answer length.
    MonotonicTime startBy; // A later start is useless to the caller.
};

// A number of tokens for one account: its weight, or the service it received.
struct AccountTokens
{
    AccountId account;
    Tokens tokens;
};

// An error, and the time after which the caller should retry.
struct Refusal
{
    Error error;
    Duration retryAfter;
};

struct FairQueueOptions
{
    int maxWaiting = 2000; // Requests, over all accounts.
    int maxWaitingPerAccount = 500; // Requests.
    Duration rateWindow = std::chrono::seconds(2); // Over which the service rate is measured.
    Duration recentWindow = std::chrono::seconds(5); // Window of recentAccounts().
    // A ticket is refused if its expected wait exceeds this fraction of the time until startBy.
    double maxWaitFraction = 0.8;
};

// Not thread-safe: lives on the request loop.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options);

    // Sets the configured weights, in tokens per second. Accounts without one have weight 1.
    void setWeights(const std::vector<AccountTokens> &weights);

    // Enqueues the ticket, or returns why not: the queue is full, or the ticket could not start in
    // time. Errors: Overloaded.
    std::optional<Refusal> offer(const Ticket &ticket, MonotonicTime now);

    // Which tickets pop() may return.
    enum class Admit {
        All,
        NotBacklogged, // Only tickets that were enqueued while their account had none waiting.
    };

    // Dequeues the next ticket to start and charges its estimate to the account. Tickets past
    // their startBy are skipped, and stay until their owner removes them.
    std::optional<Ticket> pop(MonotonicTime now, Admit admit = Admit::All);

    // Number of accounts that enqueued a ticket within the recent window.
    int recentAccounts(MonotonicTime now) const;

    // Removes a ticket that its owner gave up; false if it is not waiting.
    bool remove(TicketNumber number);

    // Corrects the charge of a request that has ended, and records its service.
    void settle(const AccountId &account, Tokens estimate, Tokens actual, MonotonicTime now);

    // Charges service that other daemons gave the account since the last call.
    void addRemoteService(const AccountId &account, Tokens tokens);

    // Expected wait of a new request of the account at the measured service rate; zero if the
    // account has none waiting or no rate was measured.
    Duration expectedWait(const AccountId &account, MonotonicTime now) const;

    int waiting() const { return m_waiting; }
    bool hasWaiting() const { return m_waiting > 0; }

    // Service that this daemon gave each account since the last call, for reporting to peers.
    std::vector<AccountTokens> takeUnreportedService();

private:
    struct StartOrder
    {
        bool operator()(const Ticket &a, const Ticket &b) const;
    };
    struct Account
    {
        double weight = 1;
        double finish = 0; // Virtual time at which the service charged so far ends.
        std::set<Ticket, StartOrder> queue;
        // The ticket that was enqueued while none was waiting; 0 once it has left the queue.
        TicketNumber ticketWithoutBacklog;
        MonotonicTime lastOffer;
        Tokens queuedTokens; // Sum of the waiting tickets' estimates.
        int inService = 0; // Requests that have started and are not settled.
        Tokens unreportedTokens; // Service since takeServiceSinceLast().
    };

    double serviceRate(MonotonicTime now) const; // Tokens per second.
    double backloggedWeight() const; // Sum over the accounts with waiting tickets.
    void dropOldService(MonotonicTime now);

    FairQueueOptions m_options;
    std::map<AccountId, Account> m_accounts;
    std::map<TicketNumber, AccountId> m_accountOfTicket; // Invariant: exactly the waiting tickets.
    double m_virtualTime = 0; // Invariant: never decreases.
    int m_waiting = 0;
    // Service that ended within the rate window, ascending by time.
    std::deque<std::pair<MonotonicTime, Tokens>> m_recentService;
    Tokens m_recentServiceTokens; // Invariant: the sum over m_recentService.
};

} // namespace ramphinge
