// Tokens of the retry budget that one daemon asks of another: the request and its response, sent to
// the endpoint for forwarded requests. A daemon of an older version refuses it as a request without
// a route, which grants nothing.

#pragma once

#include <optional>

#include "ramphinge/base/ids.h"
#include "ramphinge/net/http_types.h"

namespace ramphinge {

HttpRequest retryLoanRequest(const ServiceId &service);

// The service for whose retries a loan is requested; nothing if it is another request.
std::optional<ServiceId> requestedRetryLoan(const HttpRequest &request);

HttpResponse retryLoanResponse(bool isGranted);
bool grantsRetryLoan(int status, const HttpHeaders &headers);

} // namespace ramphinge
