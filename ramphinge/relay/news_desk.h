// Answers daemons that ask a relay for news of the store: who waits, who gets what, and when.
//
// Pure: no clock, no network. Freshness travels with the answer as the span between the moment at
// which the relay was asked and the moment up to which its picture holds every change. The asking
// side takes that off the moment at which it asked, which was earlier: so the hop, and pauses of
// either process, only ever make the proof older than it is.
//
//   desk.ask(from, request, now);
//   for (const NewsAnswer &answer : desk.due(now))
//       send(answer.to, answer.news);

#pragma once

#include <optional>
#include <vector>

#include "ramphinge/peers/message.h"
#include "ramphinge/relay/change_log.h"

namespace ramphinge {

struct NewsDeskOptions
{
    // News for one daemon at once; it asks for the rest at once. Bounds how long one answer holds
    // the smallest machine's link up (20 Mbit/s: 160 ms), and the relay's queue to it.
    std::size_t mostBytes = 400 * 1024;
    // Nobody is kept waiting for longer, whatever was asked.
    Duration longestWait = std::chrono::seconds(5);
    // One question a daemon waits; this bounds what strange names could pile up.
    std::size_t mostWaiting = 1024;
};

struct NewsAnswer
{
    DaemonId to;
    NewsMessage news;
};

// How old the proof of news is that are cut short: they prove nothing.
constexpr Duration provesNothing = std::chrono::hours(24);

// The moment up to which news hold every change, on the clock of who asked for them at `askedAt`.
MonotonicTime provenMoment(const NewsMessage &news, MonotonicTime askedAt, MonotonicTime now);

// Not thread-safe: lives on the event loop.
class NewsDesk
{
public:
    NewsDesk(NewsDeskOptions options, ChangeLogOptions log) : m_options(options), m_log(log) { }

    // Whether this daemon is a relay now. One that isn't turns everybody away, and keeps nothing.
    void setServing(bool serving);

    // The relay's own picture.
    void listed(Revision upTo, MonotonicTime provenAt);
    void advanced(const WatchBatch &batch, MonotonicTime provenAt);
    void stopped() { m_reachable = false; }

    // A later question of the same daemon replaces the earlier one.
    void ask(const DaemonId &from, const NewsRequestMessage &request, MonotonicTime now);
    void forget(const DaemonId &from);

    // The answers to give now; they wait no longer.
    std::vector<NewsAnswer> due(MonotonicTime now);

    // When the next answer is due if nothing happens before.
    std::optional<MonotonicTime> nextDue() const;

private:
    struct Waiting
    {
        DaemonId from;
        NewsRequestMessage request;
        MonotonicTime askedAt;
        MonotonicTime until;
    };

    std::optional<NewsMessage> answerTo(const Waiting &waiting, MonotonicTime now) const;
    std::optional<NewsVerdict> obstacleOf(const Waiting &waiting, MonotonicTime now) const;

    NewsDeskOptions m_options;
    ChangeLog m_log;
    bool m_serving = false;
    bool m_hasPicture = false; // m_log holds all changes since it was restarted.
    bool m_reachable = false; // The store answered the last call.
    MonotonicTime m_provenAt; // Of the picture.
    std::vector<Waiting> m_waiting; // Invariant: one of each daemon.
};

} // namespace ramphinge
