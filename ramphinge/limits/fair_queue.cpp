// Weighted fair queueing: see fair_queue.h.

#include "ramphinge/limits/fair_queue.h"

#include <algorithm>

namespace ramphinge {

namespace {

constexpr Duration minRetryAfter = std::chrono::milliseconds(200);
constexpr Duration maxRetryAfter = std::chrono::seconds(30);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

Refusal overloaded(const std::string &what, Duration retryAfter)
{
    return { Error(ErrorKind::Overloaded, what + "; come back after the time given"),
             std::clamp(retryAfter, minRetryAfter, maxRetryAfter) };
}

} // namespace

bool FairQueue::StartOrder::operator()(const Ticket &a, const Ticket &b) const
{
    return a.priority != b.priority ? a.priority > b.priority : a.number < b.number;
}

FairQueue::FairQueue(FairQueueOptions options) : m_options(options) { }

void FairQueue::setWeights(const std::vector<AccountTokens> &weights)
{
    for (auto &[id, account] : m_accounts)
        account.weight = 1;
    for (const AccountTokens &weight : weights) {
        const auto tokens = static_cast<double>(weight.tokens.count());
        m_accounts[weight.account].weight = std::max(1.0, tokens);
    }
}

std::optional<Refusal> FairQueue::offer(const Ticket &ticket, MonotonicTime now)
{
    dropOldService(now);
    Account &account = m_accounts[ticket.account];
    const Duration wait = expectedWait(ticket.account, now);
    if (m_waiting >= m_options.maxWaiting
        || static_cast<int>(account.queue.size()) >= m_options.maxWaitingPerAccount)
        return overloaded("too many requests wait", wait);
    const Duration left = ticket.startBy - now;
    if (seconds(wait) > seconds(left) * m_options.maxWaitFraction)
        return overloaded("it could not start in time", wait - left);
    // An idle account resumes at the current virtual time, without credit for its idle period. A
    // charge that reaches beyond that time remains.
    if (account.queue.empty() && account.inService == 0)
        account.finish = std::max(account.finish, m_virtualTime);
    if (account.queue.empty())
        account.ticketWithoutBacklog = ticket.number;
    account.lastOffer = now;
    account.queue.insert(ticket);
    account.queuedTokens += ticket.estimate;
    m_accountOfTicket[ticket.number] = ticket.account;
    ++m_waiting;
    return std::nullopt;
}

std::optional<Ticket> FairQueue::pop(MonotonicTime now, Admit admit)
{
    Account *nextAccount = nullptr;
    const Ticket *next = nullptr;
    for (auto &[id, account] : m_accounts) {
        const auto startable =
            std::find_if(account.queue.begin(), account.queue.end(),
                         [now](const Ticket &ticket) { return ticket.startBy > now; });
        const bool admitted = startable != account.queue.end()
            && (admit == Admit::All || startable->number == account.ticketWithoutBacklog);
        if (!admitted || (nextAccount != nullptr && account.finish >= nextAccount->finish))
            continue;
        nextAccount = &account;
        next = &*startable;
    }
    if (nextAccount == nullptr)
        return std::nullopt;
    const Ticket ticket = *next;
    remove(ticket.number);
    m_virtualTime = std::max(m_virtualTime, nextAccount->finish);
    nextAccount->finish += static_cast<double>(ticket.estimate.count()) / nextAccount->weight;
    ++nextAccount->inService;
    return ticket;
}

int FairQueue::recentAccounts(MonotonicTime now) const
{
    return static_cast<int>(
        std::count_if(m_accounts.begin(), m_accounts.end(), [&](const auto &entry) {
            const MonotonicTime last = entry.second.lastOffer;
            return last != MonotonicTime() && now - last < m_options.recentWindow;
        }));
}

bool FairQueue::remove(TicketNumber number)
{
    const auto found = m_accountOfTicket.find(number);
    if (found == m_accountOfTicket.end())
        return false;
    Account &account = m_accounts[found->second];
    const auto ticket =
        std::find_if(account.queue.begin(), account.queue.end(),
                     [number](const Ticket &waiting) { return waiting.number == number; });
    account.queuedTokens -= ticket->estimate;
    account.queue.erase(ticket);
    if (account.ticketWithoutBacklog == number)
        account.ticketWithoutBacklog = TicketNumber(0);
    m_accountOfTicket.erase(found);
    --m_waiting;
    return true;
}

void FairQueue::settle(const AccountId &id, Tokens estimate, Tokens actual, MonotonicTime now)
{
    Account &account = m_accounts[id];
    account.finish += static_cast<double>((actual - estimate).count()) / account.weight;
    account.inService = std::max(0, account.inService - 1);
    account.unreportedTokens += actual;
    m_recentService.emplace_back(now, actual);
    m_recentServiceTokens += actual;
    dropOldService(now);
}

void FairQueue::addRemoteService(const AccountId &id, Tokens tokens)
{
    Account &account = m_accounts[id];
    account.finish = std::max(account.finish, m_virtualTime);
    account.finish += static_cast<double>(tokens.count()) / account.weight;
}

void FairQueue::dropOldService(MonotonicTime now)
{
    while (!m_recentService.empty() && now - m_recentService.front().first > m_options.rateWindow) {
        m_recentServiceTokens -= m_recentService.front().second;
        m_recentService.pop_front();
    }
}

double FairQueue::serviceRate(MonotonicTime now) const
{
    if (m_recentService.empty())
        return 0;
    const double span = std::max(
        0.1, std::min(seconds(m_options.rateWindow), seconds(now - m_recentService.front().first)));
    return static_cast<double>(m_recentServiceTokens.count()) / span;
}

double FairQueue::backloggedWeight() const
{
    double sum = 0;
    for (const auto &[id, account] : m_accounts) {
        if (!account.queue.empty())
            sum += account.weight;
    }
    return sum;
}

Duration FairQueue::expectedWait(const AccountId &id, MonotonicTime now) const
{
    const auto found = m_accounts.find(id);
    const double rate = serviceRate(now);
    if (found == m_accounts.end() || found->second.queue.empty() || rate <= 0)
        return Duration::zero();
    const Account &account = found->second;
    const double share = rate * account.weight / std::max(account.weight, backloggedWeight());
    return fromSeconds(static_cast<double>(account.queuedTokens.count()) / share);
}

std::vector<AccountTokens> FairQueue::takeUnreportedService()
{
    std::vector<AccountTokens> taken;
    for (auto &[id, account] : m_accounts) {
        if (account.unreportedTokens == Tokens(0))
            continue;
        taken.push_back({ id, account.unreportedTokens });
        account.unreportedTokens = Tokens(0);
    }
    return taken;
}

} // namespace ramphinge
