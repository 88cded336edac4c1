// Delays further loads of a model whose loads crash the servers that take them.
//
// A planner that only sees a server disappear gives the load to the next one, and so on through the
// fleet: free servers first, then those that stage a second model while they serve. So servers that
// disappear during a load count as crashes caused by the model, until a load of it succeeds.
// Crashes shortly after other servers disappeared, as with the loss of a fabric domain or a network
// partition, aren't counted.
//
//   backoff.recordSuccess(model);
//   backoff.recordCrash(model, now);
//   backoff.recordOtherCrash(now);     // Of a server that loaded nothing.
//   if (backoff.mayLoad(model, now)) ...

#pragma once

#include <deque>
#include <map>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct LoadBackoffOptions
{
    // Crashes under loads of one model, with no successful load between them, before further loads
    // are delayed. With 2, chance triggers it: where a tenth of the fleet fails in a minute, two
    // servers happen to fail within a load of 16 s.
    int crashesBeforeBackoff = 3;
    // Delay of the next load; doubles with each further crash. Covers the time of a load, and of an
    // operator's look at it.
    Duration initialBackoff = std::chrono::seconds(15);
    Duration maxBackoff = std::chrono::minutes(10);
    // Servers that disappear within this time of each other are taken to have a common cause:
    // entries lapse within a heartbeat of each other, and a partition shows within a few
    // heartbeats.
    Duration correlationWindow = std::chrono::seconds(3);
};

// Not thread-safe: lives on the event loop.
class LoadBackoff
{
public:
    explicit LoadBackoff(LoadBackoffOptions options) : m_options(options) { }

    void recordSuccess(const ModelId &model) { m_models.erase(model); }
    void recordCrash(const ModelId &model, MonotonicTime now);
    void recordOtherCrash(MonotonicTime now);

    bool mayLoad(const ModelId &model, MonotonicTime now) const;
    // Crashes during loads of the model since the last one that succeeded.
    int crashes(const ModelId &model) const;

private:
    struct Record
    {
        int crashes = 0;
        Duration backoff {}; // The last one applied; zero if none was.
        MonotonicTime retryAt;
    };

    LoadBackoffOptions m_options;
    std::map<ModelId, Record> m_models; // With crashes since the last success.
    std::deque<MonotonicTime> m_otherCrashes; // Ascending, within `correlationWindow`.
};

} // namespace ramphinge
