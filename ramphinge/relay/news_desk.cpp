// Answers for daemons that wait for news: see news_desk.h.

#include "ramphinge/relay/news_desk.h"

#include <algorithm>

namespace ramphinge {

MonotonicTime provenMoment(const NewsMessage &news, MonotonicTime askedAt, MonotonicTime now)
{
    return std::min(askedAt - news.provenBefore, now);
}

void NewsDesk::setServing(bool serving)
{
    if (m_serving == serving)
        return;
    m_serving = serving;
    m_hasPicture = false; // Changes before are not in the log: it restarts with the next one.
}

void NewsDesk::listed(Revision upTo, MonotonicTime provenAt)
{
    m_log.restart(upTo);
    m_hasPicture = m_serving;
    m_reachable = true;
    m_provenAt = provenAt;
}

void NewsDesk::advanced(const WatchBatch &batch, MonotonicTime provenAt)
{
    m_reachable = true;
    m_provenAt = provenAt;
    if (!m_serving)
        return;
    if (m_hasPicture) {
        m_log.add(batch);
        return;
    }
    m_log.restart(batch.upTo);
    m_hasPicture = true;
}

void NewsDesk::ask(const DaemonId &from, const NewsRequestMessage &request, MonotonicTime now)
{
    forget(from);
    if (m_waiting.size() >= m_options.mostWaiting)
        return; // The asking side goes to the store when no answer comes.
    const Duration wait = std::clamp(request.wait, Duration::zero(), m_options.longestWait);
    m_waiting.push_back({ from, request, now, now + wait });
}

void NewsDesk::forget(const DaemonId &from)
{
    const auto isFrom = [&from](const Waiting &waiting) { return waiting.from == from; };
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), isFrom), m_waiting.end());
}

std::optional<NewsVerdict> NewsDesk::obstacleOf(const Waiting &waiting, MonotonicTime now) const
{
    if (!m_serving || !m_hasPicture)
        return NewsVerdict::NoPicture;
    const bool waitsOn = waiting.request.storeLost && now < waiting.until;
    if (!m_reachable && !waitsOn)
        return NewsVerdict::StoreLost;
    if (!m_log.reachesBackTo(waiting.request.after))
        return NewsVerdict::TooOld;
    return std::nullopt;
}

std::optional<NewsMessage> NewsDesk::answerTo(const Waiting &waiting, MonotonicTime now) const
{
    NewsMessage news;
    news.id = waiting.request.id;
    if (const std::optional<NewsVerdict> obstacle = obstacleOf(waiting, now)) {
        news.verdict = *obstacle;
        return news;
    }
    const bool hasNews =
        m_reachable && (waiting.request.storeLost || m_log.hasChangesAfter(waiting.request.after));
    if (!hasNews && now < waiting.until)
        return std::nullopt;
    std::optional<LoggedChanges> logged =
        m_log.changesAfter(waiting.request.after, m_options.mostBytes);
    if (!logged) {
        news.verdict = NewsVerdict::TooMuch;
        return news;
    }
    news.verdict = NewsVerdict::News;
    news.upTo = logged->upTo;
    news.moreFollow = !logged->reachesEnd;
    news.provenBefore = news.moreFollow ? provesNothing : waiting.askedAt - m_provenAt;
    news.changes = std::move(logged->changes);
    return news;
}

std::vector<NewsAnswer> NewsDesk::due(MonotonicTime now)
{
    std::vector<NewsAnswer> answers;
    std::vector<Waiting> rest;
    for (Waiting &waiting : m_waiting) {
        if (std::optional<NewsMessage> news = answerTo(waiting, now))
            answers.push_back({ waiting.from, std::move(*news) });
        else
            rest.push_back(std::move(waiting));
    }
    m_waiting = std::move(rest);
    return answers;
}

std::optional<MonotonicTime> NewsDesk::nextDue() const
{
    std::optional<MonotonicTime> next;
    for (const Waiting &waiting : m_waiting)
        next = next ? std::min(*next, waiting.until) : waiting.until;
    return next;
}

} // namespace ramphinge
