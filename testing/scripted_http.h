// An HTTP client and an exchange with a caller that follow a script instead of a network, so that
// the request path can be tested without sockets or time.
//
//   ScriptedClient client;
//   client.expect(endpoint, ScriptedAnswer().status(200).piece("id: 1\n\n").end());

#pragma once

#include <deque>
#include <map>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/http_server.h"

namespace ramphinge {

// The scripted result of one call.
struct ScriptedAnswer
{
    enum class Start { Answers, NoConnection, Unreachable, NoAnswer } start = Start::Answers;
    int status = 200;
    HttpHeaders headers;
    std::vector<std::string> pieces;
    bool breaksOff = false; // The connection breaks after the pieces.
    bool endsWithConnection = false; // The response has no length.
    std::function<void()> before; // Called when the request is written.
    // If set, the connection is established only when it returns true. It is polled.
    std::function<bool()> connectsWhen;
    // If set, the response head arrives only when it returns true. It is polled.
    std::function<bool()> startsWhen;
    // If set, the pieces after the first `holdAfter` arrive only when it returns true.
    std::function<bool()> goesOnWhen;
    std::size_t holdAfter = 0;
};

// Records the requests, and answers each call to an endpoint with the next script for it. Without a
// script the connection is refused.
class ScriptedClient : public HttpClient
{
public:
    struct Sent
    {
        Endpoint endpoint;
        HttpRequest request;
        HttpCallOptions options;
    };

    void expect(const Endpoint &endpoint, ScriptedAnswer answer)
    {
        m_answers[endpoint].push_back(std::move(answer));
    }

    // Whether the endpoint has a script left.
    bool expectsCall(const Endpoint &endpoint) const
    {
        const auto found = m_answers.find(endpoint);
        return found != m_answers.end() && !found->second.empty();
    }

    const std::vector<Sent> &sent() const { return m_sent; }
    int cancelled() const { return m_cancelled; }

    std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                   HttpCallOptions options) override;
    void forget(const Endpoint &) override { }
    std::int64_t connectionsMade() const override { return 0; }
    std::int64_t answersSkipped() const override { return 0; }

private:
    class Call;

    std::map<Endpoint, std::deque<ScriptedAnswer>> m_answers;
    std::vector<Sent> m_sent;
    int m_cancelled = 0;
};

// A caller's exchange that records the response.
class RecordedExchange : public HttpExchange
{
public:
    explicit RecordedExchange(HttpRequest request) : m_request(std::move(request)) { }

    const HttpRequest &request() const override { return m_request; }
    Status respond(const HttpResponse &answer, Yield) override
    {
        response = answer;
        return Done {};
    }
    void beginStream(int status, HttpHeaders headers) override
    {
        response = { status, std::move(headers), {} };
    }
    Status write(std::string_view piece, Yield) override
    {
        if (onWrite)
            onWrite();
        if (gone)
            return Error(ErrorKind::Unavailable, "the caller went away");
        response.body.append(piece);
        return Done {};
    }
    Status finish(Yield) override
    {
        finished = true;
        return Done {};
    }
    void abort() override { aborted = true; }
    void watchCaller(std::function<void()> onGone) override { m_onGone = std::move(onGone); }
    bool callerGone() const override { return gone; }

    // The caller closes its connection.
    void leave()
    {
        gone = true;
        if (m_onGone)
            m_onGone();
    }

    HttpResponse response { 0, {}, {} };
    bool finished = false; // The stream was completed.
    bool aborted = false;
    bool gone = false;
    std::function<void()> onWrite;

private:
    HttpRequest m_request;
    std::function<void()> m_onGone;
};

} // namespace ramphinge
