// Holds back loads of a model that ends the servers which load it.
//
// A planner that only sees a server go gives the load to the next one, and so on through the fleet:
// free servers first, then those that stage a second model while they serve. So ends of servers in
// the middle of a load count against the model, until a load of it succeeds. Servers that end with
// others beside them, as with their domain or behind a cut, count for nothing.
//
//   guard.succeeded(model);
//   guard.ended(model, now);
//   guard.otherEnded(now);     // One that loaded nothing.
//   if (guard.mayLoad(model, now)) ...

#pragma once

#include <deque>
#include <map>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct LoadBackoffOptions
{
    // So many servers end under loads of a model, with none that succeeded between, before the next
    // load waits. Three: two servers that fail within a load of 16 s are met by chance where a
    // tenth of the fleet fails in a minute.
    int endsBorne = 3;
    // How long the next load waits then; doubles with each further end. A load's time, and what an
    // operator takes to look.
    Duration firstWait = std::chrono::seconds(15);
    Duration longestWait = std::chrono::minutes(10);
    // Servers that vanish so close together have one cause: entries lapse within a heartbeat of
    // each other, and a cut shows within a few.
    Duration together = std::chrono::seconds(3);
};

// Not thread-safe: lives on the event loop.
class LoadBackoff
{
public:
    explicit LoadBackoff(LoadBackoffOptions options) : m_options(options) { }

    void succeeded(const ModelId &model) { m_models.erase(model); }
    void ended(const ModelId &model, MonotonicTime now);
    void otherEnded(MonotonicTime now);

    bool mayLoad(const ModelId &model, MonotonicTime now) const;
    // Of servers in the middle of loads of the model, since one succeeded.
    int ends(const ModelId &model) const;

private:
    struct Record
    {
        int ends = 0;
        Duration wait {}; // The last one; zero before any.
        MonotonicTime mayLoadAt;
    };

    LoadBackoffOptions m_options;
    std::map<ModelId, Record> m_models; // Of those with ends since the last success.
    std::deque<MonotonicTime> m_otherEnds; // Ascending, within `together`.
};

} // namespace ramphinge
