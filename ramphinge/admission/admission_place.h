// One request's place in the admission of its model, as a scope: whatever way the request
// ends, its place or its token returns.

#pragma once

#include "ramphinge/admission/model_admission.h"

namespace ramphinge {

// Not thread-safe. `admission` must outlive it.
class AdmissionPlace
{
public:
    // Asks for admission.
    AdmissionPlace(ModelAdmission &admission, const AdmissionRequest &request, MonotonicTime now)
        : m_admission(admission), m_ticket(request.ticket),
          m_decision(admission.offer(request, now))
    { }
    ~AdmissionPlace()
    {
        if (isWaiting())
            m_admission.remove(m_ticket);
        else if (!isRefused())
            m_admission.ended();
    }
    AdmissionPlace(const AdmissionPlace &) = delete;
    AdmissionPlace &operator=(const AdmissionPlace &) = delete;

    // Asks again, while isWaiting().
    void poll(MonotonicTime now) { m_decision = m_admission.poll(m_ticket, now); }

    bool isWaiting() const { return m_decision.outcome == AdmissionOutcome::Waiting; }
    bool isRefused() const { return m_decision.outcome == AdmissionOutcome::Refused; }
    bool isLate() const { return m_decision.outcome == AdmissionOutcome::AdmittedLate; }
    Duration retryAfter() const { return m_decision.retryAfter; } // If refused.

private:
    ModelAdmission &m_admission;
    AdmissionTicket m_ticket;
    AdmissionDecision m_decision;
};

} // namespace ramphinge
