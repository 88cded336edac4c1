// The administration API, version 1: HTTP and JSON on a port of its own. The command-line tool
// speaks it. Operators prove themselves by "Authorization: Bearer KEY"; keys are kept as SHA-256
// only.
//
//   GET  /health                   whether this daemon serves (for the balancer, no key)
//   GET  /metrics                  counters and quantiles (no key)
//   GET  /admin/v1/status          this daemon's state
//   GET  /admin/v1/config          accepted document, version, expanded form
//   POST /admin/v1/validate        findings for a document
//   POST /admin/v1/diff            what a document would change
//   POST /admin/v1/apply           applies a document
//   GET  /admin/v1/history         accepted changes
//   GET  /admin/v1/timeline        events; ?text= &after= &limit=
//   GET  /admin/v1/explain         where a request would go; ?account= &model= &prompt=
//   GET  /admin/v1/holding         who holds an account; ?account= (no key: the other side asks)
//   POST /admin/v1/drain           this daemon shuts down gracefully

#pragma once

#include <functional>
#include <memory>

#include "ramphinge/control/actors.h"
#include "ramphinge/gateway/gateway.h"
#include "ramphinge/net/http_server.h"

namespace ramphinge {

struct AdminParts
{
    IoContext &io;
    const Settings &settings;
    Hub &hub;
    Gateway &gateway;
    ControlActors &actors;
    Timeline &timeline;
    Metrics &metrics;
    std::function<void()> drain;
};

// Lives on the I/O loop.
class AdminApi : public HttpHandler
{
public:
    explicit AdminApi(AdminParts parts) : m_parts(std::move(parts)) { }

    void handle(HttpExchange &exchange, Yield yield) override;

private:
    std::optional<Operator> authenticate(const HttpRequest &request) const;
    HttpResponse answerOpen(const HttpRequest &request);
    HttpResponse answer(const HttpRequest &request, const Operator &who, Yield yield);
    HttpResponse status() const;
    HttpResponse config() const;
    HttpResponse validate(const HttpRequest &request) const;
    HttpResponse diff(const HttpRequest &request) const;
    HttpResponse apply(const HttpRequest &request, const Operator &who, Yield yield);
    HttpResponse history() const;
    HttpResponse timeline(const HttpRequest &request) const;
    HttpResponse holding(const HttpRequest &request) const;

    AdminParts m_parts;
};

} // namespace ramphinge
