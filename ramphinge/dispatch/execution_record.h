// What is known of the executions of one request: the only place that decides whether it may be
// sent again, and whether a refusal may promise that it was not executed and never will be.
//
// A send counts as one that may be executed from before its first byte until a proof about this
// very request says otherwise. So a lost or unclear response, an exception or a forgotten call can
// only end as "may have been executed".
//
//   const std::optional<SendNumber> send = record.beginSend(repeatability);
//   if (!send)
//       return Error(...); // It may have been executed, and must not be again.
//   ...
//   if (const auto proof = NotExecutedProof::fromResponse(head.notExecuted, request))
//       record.proveNotExecuted(*send, *proof);
//   ...
//   respond(refusalResponse(reason, record.guarantee()));

#pragma once

#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/fleet/incarnation.h"
#include "ramphinge/net/http_client.h"

namespace ramphinge {

using SendNumber = Quantity<struct SendNumberTag>; // Of one request, from 0.

// Whether a request may be executed more than once.
enum class Repeatability { AtMostOnce, Repeatable };

// That one send of a request was not executed and never will be. Can only be made from evidence.
class NotExecutedProof
{
public:
    enum class Source { NothingWritten, Response };

    // From a response which states that `stated` was not executed; empty if it states that of no
    // request, or not of which one. Nothing if that is another request.
    static std::optional<NotExecutedProof> fromResponse(const std::optional<RequestId> &stated,
                                                        const RequestId &request);

    // From a call that has ended. Nothing if a byte of the request may have been written.
    static std::optional<NotExecutedProof> fromCall(const HttpCall &call);

    Source source() const { return m_source; }

private:
    explicit NotExecutedProof(Source source) : m_source(source) { }

    Source m_source;
};

// That no send of a request was executed, nor will be. Only an ExecutionRecord gives it, and only a
// response that is made from it may promise this to a caller.
class NotExecutedGuarantee
{
private:
    friend class ExecutionRecord;
    // User-provided, so that nobody else makes one as an aggregate.
    NotExecutedGuarantee() { } // NOLINT(modernize-use-equals-default)
};

// Not thread-safe. One for each attempt of a caller, for as long as it is served.
class ExecutionRecord
{
public:
    // To be called before anything is written. Nothing if the request must not be sent: it may have
    // been executed and is not repeatable.
    std::optional<SendNumber> beginSend(Repeatability repeatability);

    void proveNotExecuted(SendNumber send, const NotExecutedProof &proof);

    // Whether beginSend() would permit another send.
    bool maySend(Repeatability repeatability) const;

    // Nothing while any send may have been executed.
    std::optional<NotExecutedGuarantee> guarantee() const;

private:
    std::vector<std::optional<NotExecutedProof>> m_sends; // By number; empty without a proof.
};

} // namespace ramphinge
