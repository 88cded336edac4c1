// Scripted HTTP: see scripted_http.h.

#include "testing/scripted_http.h"

#include <boost/asio/post.hpp>

namespace ramphinge {

class ScriptedClient::Call : public HttpCall
{
public:
    Call(ScriptedClient &client, ScriptedAnswer answer, std::function<bool()> mayWrite)
        : m_client(client), m_answer(std::move(answer)), m_mayWrite(std::move(mayWrite))
    { }

    Status start(Yield yield) override
    {
        awaitCondition(m_answer.connectsWhen, yield);
        if (m_answer.start == ScriptedAnswer::Start::Unreachable) {
            if (m_answer.before)
                m_answer.before();
            return Error(ErrorKind::Unavailable, "no connection: timed out");
        }
        if (m_mayWrite && !m_mayWrite()) {
            m_cancelled = true;
            return Error(ErrorKind::Unavailable, "withheld");
        }
        if (m_answer.before)
            m_answer.before();
        m_sent = m_answer.start != ScriptedAnswer::Start::NoConnection;
        awaitCondition(m_answer.startsWhen, yield);
        if (m_cancelled)
            return Error(ErrorKind::Unknown, "cancelled");
        if (m_answer.start == ScriptedAnswer::Start::NoConnection)
            return Error(ErrorKind::Unavailable, "no connection");
        if (m_answer.start == ScriptedAnswer::Start::NoAnswer)
            return Error(ErrorKind::Unknown, "no answer");
        return Done {};
    }

    int status() const override { return m_answer.status; }
    const HttpHeaders &headers() const override { return m_answer.headers; }

    Result<std::size_t> read(std::string &into, Yield yield) override
    {
        if (m_next == m_answer.holdAfter)
            awaitCondition(m_answer.goesOnWhen, yield);
        if (m_cancelled)
            return Error(ErrorKind::Unknown, "cancelled");
        if (m_next < m_answer.pieces.size()) {
            into.append(m_answer.pieces[m_next]);
            return m_answer.pieces[m_next++].size();
        }
        if (m_answer.breaksOff) {
            m_endedByPeer = true;
            return Error(ErrorKind::Unknown, "broke off");
        }
        m_ended = true;
        return std::size_t { 0 };
    }

    void setReadTimeout(Duration) override { }
    bool endsWithConnection() const override { return m_answer.endsWithConnection; }
    bool sent() const override { return m_sent; }
    bool usesKeptConnection() const override { return false; }
    bool refused() const override { return m_answer.start == ScriptedAnswer::Start::NoConnection; }

    bool unreachable() const override
    {
        return m_answer.start == ScriptedAnswer::Start::Unreachable;
    }

    bool endedByPeer() const override { return m_endedByPeer; }

    void cancel() override
    {
        if (!m_cancelled && !m_ended)
            ++m_client.m_cancelled;
        m_cancelled = true;
    }

private:
    // Runs the event loop until the condition holds or the call is cancelled.
    void awaitCondition(const std::function<bool()> &condition, Yield yield) const
    {
        boost::system::error_code ignored;
        while (condition && !m_cancelled && !condition())
            boost::asio::post(yield[ignored]);
    }

    ScriptedClient &m_client;
    ScriptedAnswer m_answer;
    std::function<bool()> m_mayWrite;
    std::size_t m_next = 0;
    bool m_sent = false;
    bool m_ended = false;
    bool m_endedByPeer = false;
    bool m_cancelled = false;
};

std::unique_ptr<HttpCall> ScriptedClient::call(const Endpoint &endpoint, const HttpRequest &request,
                                               HttpCallOptions options)
{
    m_sent.push_back({ endpoint, request, options });
    std::deque<ScriptedAnswer> &answers = m_answers[endpoint];
    ScriptedAnswer answer;
    answer.start = ScriptedAnswer::Start::NoConnection;
    if (!answers.empty()) {
        answer = std::move(answers.front());
        answers.pop_front();
    }
    return std::make_unique<Call>(*this, std::move(answer), options.mayWrite);
}

} // namespace ramphinge
