// Timeline of events: see timeline.h.

#include "ramphinge/observe/timeline.h"

#include <nlohmann/json.hpp>

namespace ramphinge {

namespace {

bool mentions(const TimelineEvent &event, const std::string &text)
{
    for (const std::string *field :
         { &event.request.text(), &event.account.text(), &event.replica.text(), &event.host.text(),
           &event.change.text(), &event.detail }) {
        if (field->find(text) != std::string::npos)
            return true;
    }
    return text == toString(event.kind);
}

} // namespace

const char *toString(EventKind kind)
{
    static constexpr const char *names[] = {
        "started",           "stopping",        "stopped",         "request_received",
        "request_sent",      "request_retried", "request_resumed", "request_ended",
        "request_refused",   "request_unknown", "caller_gone",     "late_answer_dropped",
        "claim_granted",     "claim_refused",   "serving_mode",    "registered",
        "registration_lost", "role_won",        "role_lost",       "change_proposed",
        "change_confirmed",  "change_accepted", "change_refused",  "change_in_force",
        "plan_written",      "order_sent",      "replica_ready",   "replica_not_ready",
        "host_down",         "host_up",         "handover_step",
    };
    static_assert(std::size(names) == static_cast<std::size_t>(EventKind::HandoverStep) + 1);
    return names[static_cast<std::size_t>(kind)];
}

Timeline::Timeline(DaemonId daemon, const Clock &clock, const std::string &path,
                   std::size_t capacity)
    : m_daemon(std::move(daemon)), m_clock(clock), m_capacity(capacity)
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void Timeline::record(TimelineEvent event)
{
    event.at = m_clock.tick();
    const std::lock_guard lock(m_mutex);
    event.number = m_next++;
    if (m_file.is_open())
        m_file << toJson(event).dump() << '\n' << std::flush;
    m_events.push_back(std::move(event));
    if (m_events.size() > m_capacity)
        m_events.pop_front();
}

std::vector<TimelineEvent> Timeline::events(const TimelineFilter &filter) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<TimelineEvent> found;
    for (auto it = m_events.rbegin(); it != m_events.rend() && found.size() < filter.limit; ++it) {
        if (it->number <= filter.after)
            break;
        if (filter.text.empty() || mentions(*it, filter.text))
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

nlohmann::json Timeline::toJson(const TimelineEvent &event) const
{
    nlohmann::json json { { "ms", event.at.wallMilliseconds },
                          { "counter", event.at.counter },
                          { "number", event.number },
                          { "daemon", m_daemon.text() },
                          { "event", toString(event.kind) } };
    const auto put = [&json](const char *name, const std::string &text) {
        if (!text.empty())
            json[name] = text;
    };
    put("request", event.request.text());
    put("account", event.account.text());
    put("replica", event.replica.text());
    put("host", event.host.text());
    put("change", event.change.text());
    put("detail", event.detail);
    if (event.attempt.count() != 0)
        json["attempt"] = event.attempt.count();
    if (event.epoch.count() != 0)
        json["epoch"] = event.epoch.count();
    return json;
}

} // namespace ramphinge
