// Steps of a process's start: see start_steps.h.

#include "ramphinge/observe/start_steps.h"

namespace ramphinge {

bool StartSteps::reached(const std::string &step, nlohmann::json fields)
{
    if (!m_reached.insert(step).second)
        return false;
    fields["step"] = step;
    fields["after_ms"] = toMilliseconds(m_clock.now() - m_startedAt);
    m_log.write("start_step", LogWeight::Belief, std::move(fields));
    return true;
}

} // namespace ramphinge
