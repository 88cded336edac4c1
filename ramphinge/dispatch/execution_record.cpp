// Executions of one request: see execution_record.h.

#include "ramphinge/dispatch/execution_record.h"

#include <algorithm>

namespace ramphinge {

std::optional<NotExecutedProof>
NotExecutedProof::fromResponse(const std::optional<RequestId> &stated, const RequestId &request)
{
    if (!stated || request.empty() || *stated != request)
        return std::nullopt;
    return NotExecutedProof(Source::Response);
}

std::optional<NotExecutedProof> NotExecutedProof::fromCall(const HttpCall &call)
{
    if (call.sent())
        return std::nullopt;
    return NotExecutedProof(Source::NothingWritten);
}

std::optional<SendNumber> ExecutionRecord::beginSend(Repeatability repeatability)
{
    if (!maySend(repeatability))
        return std::nullopt;
    m_sends.emplace_back();
    return SendNumber(static_cast<std::int64_t>(m_sends.size()) - 1);
}

void ExecutionRecord::proveNotExecuted(SendNumber send, const NotExecutedProof &proof)
{
    m_sends.at(static_cast<std::size_t>(send.count())) = proof;
}

bool ExecutionRecord::maySend(Repeatability repeatability) const
{
    return repeatability == Repeatability::Repeatable || guarantee();
}

std::optional<NotExecutedGuarantee> ExecutionRecord::guarantee() const
{
    const bool isProven = std::all_of(m_sends.begin(), m_sends.end(),
                                      [](const auto &proof) { return proof.has_value(); });
    return isProven ? std::optional<NotExecutedGuarantee>(NotExecutedGuarantee()) : std::nullopt;
}

} // namespace ramphinge
