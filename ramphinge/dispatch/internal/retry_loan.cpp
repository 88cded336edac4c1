// Loans of the retry budget between daemons: see retry_loan.h.

#include "ramphinge/dispatch/internal/retry_loan.h"

namespace ramphinge {

namespace {

constexpr const char *loanPath = "/ramphinge/retry-loan";
constexpr const char *serviceHeader = "Ramphinge-Service";
constexpr const char *grantedHeader = "Ramphinge-Granted"; // "1" or "0".
constexpr int statusOk = 200;

} // namespace

HttpRequest retryLoanRequest(const ServiceId &service)
{
    HttpRequest request { "POST", loanPath, {}, {} };
    request.headers.add(serviceHeader, service.text());
    return request;
}

std::optional<ServiceId> requestedRetryLoan(const HttpRequest &request)
{
    const auto service = request.headers.find(serviceHeader);
    if (request.target != loanPath || !service || service->empty())
        return std::nullopt;
    return ServiceId(std::string(*service));
}

HttpResponse retryLoanResponse(bool isGranted)
{
    HttpResponse response { statusOk, {}, {} };
    response.headers.add(grantedHeader, isGranted ? "1" : "0");
    return response;
}

bool grantsRetryLoan(int status, const HttpHeaders &headers)
{
    return status == statusOk && headers.find(grantedHeader) == "1";
}

} // namespace ramphinge
