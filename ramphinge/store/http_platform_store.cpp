// HTTP adapter of the platform store: see http_platform_store.h.

#include "ramphinge/store/http_platform_store.h"

#include <nlohmann/json.hpp>

#include "ramphinge/net/http_client.h"
#include "ramphinge/store/member_json.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

Error toError(const HttpResponse &response, const std::string &path)
{
    const std::string text = "the platform answered " + std::to_string(response.status) + " to "
        + path + ": " + response.body;
    switch (response.status) {
    case 404:
        return { ErrorKind::NotFound, text };
    case 409:
        return { ErrorKind::Conflict, text };
    case 410:
        return { ErrorKind::Fenced, text };
    case 429:
    case 503:
        return { ErrorKind::Unavailable, text };
    default:
        return { ErrorKind::Unknown, text };
    }
}

class HttpPlatformStore : public PlatformStore
{
public:
    explicit HttpPlatformStore(HttpPlatformStoreOptions options) : m_options(std::move(options)) { }

    Result<std::optional<StoredValue>> read(const StoreKey &key) override
    {
        const Result<Json> answer = call("/kv/get", { { "key", key.text() } });
        if (!answer.ok() && answer.error().kind() == ErrorKind::NotFound)
            return std::optional<StoredValue>();
        if (!answer.ok())
            return answer.error();
        return std::optional<StoredValue>(storedValueOf(answer.value()));
    }

    Result<std::vector<StoredEntry>> list(const StoreKey &prefix) override
    {
        const Result<Json> answer = call("/kv/list", { { "prefix", prefix.text() } });
        if (!answer.ok())
            return answer.error();
        std::vector<StoredEntry> entries;
        for (const Json &entry : answer.value().at("entries"))
            entries.push_back({ StoreKey(entry.value("key", "")), storedValueOf(entry) });
        return entries;
    }

    Result<Revision> compareAndSwap(const StoreKey &key, const std::string &value,
                                    Revision expected, LeaseId lease) override
    {
        const Result<Json> answer = call("/kv/cas",
                                         { { "key", key.text() },
                                           { "value", value },
                                           { "expect", expected.count() },
                                           { "lease", lease.count() } });
        if (!answer.ok())
            return answer.error();
        return Revision(answer.value().value("revision", std::int64_t { 0 }));
    }

    Status erase(const StoreKey &key, Revision expected) override
    {
        return toStatus(
            call("/kv/delete", { { "key", key.text() }, { "expect", expected.count() } }));
    }

    Result<LeaseId> grantLease(Duration lifetime) override
    {
        const Result<Json> answer = call("/lease/grant", { { "ttl_ms", milliseconds(lifetime) } });
        if (!answer.ok())
            return answer.error();
        return LeaseId(answer.value().value("lease", std::int64_t { 0 }));
    }

    Status renewLease(LeaseId lease) override
    {
        return toStatus(call("/lease/renew", { { "lease", lease.count() } }));
    }

    Status revokeLease(LeaseId lease) override
    {
        return toStatus(call("/lease/revoke", { { "lease", lease.count() } }));
    }

    Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait) override
    {
        const Result<Json> answer = call("/kv/watch",
                                         { { "prefix", prefix.text() },
                                           { "after", after.count() },
                                           { "wait_ms", milliseconds(wait) } },
                                         wait);
        if (!answer.ok())
            return answer.error();
        WatchBatch batch;
        batch.upTo = Revision(answer.value().value("revision", std::int64_t { 0 }));
        batch.complete = answer.value().value("complete", true);
        for (const Json &change : answer.value().at("changes")) {
            StoreChange storeChange { StoreKey(change.value("key", "")), std::nullopt };
            if (change.contains("value"))
                storeChange.stored = storedValueOf(change);
            batch.changes.push_back(std::move(storeChange));
        }
        return batch;
    }

    Result<MemberList> members(Revision after, Duration wait) override
    {
        const Result<Json> answer =
            call("/members/watch",
                 { { "after", after.count() }, { "wait_ms", milliseconds(wait) } }, wait);
        if (!answer.ok())
            return answer.error();
        MemberList list;
        list.revision = Revision(answer.value().value("revision", std::int64_t { 0 }));
        for (const Json &entry : answer.value().at("members")) {
            const Result<Member> member = memberFromJson(entry);
            if (!member.ok())
                return member.error();
            list.members.push_back(member.value());
        }
        return list;
    }

    void interrupt() override { m_client.interrupt(); }

private:
    static StoredValue storedValueOf(const Json &json)
    {
        return { json.value("value", std::string()),
                 Revision(json.value("revision", std::int64_t { 0 })) };
    }

    static Status toStatus(const Result<Json> &answer)
    {
        if (!answer.ok())
            return answer.error();
        return Done {};
    }

    Result<Json> call(const std::string &path, const Json &body,
                      Duration watchWait = Duration::zero())
    {
        HttpRequest request {
            "POST", path, { { "content-type", "application/json" } }, body.dump()
        };
        const Result<HttpResponse> response =
            m_client.exchange(m_options.endpoint, request, m_options.timeout + watchWait);
        if (!response.ok())
            return response.error();
        if (response.value().status != 200)
            return toError(response.value(), path);
        Json json = Json::parse(response.value().body, nullptr, false);
        if (!json.is_object())
            return Error(ErrorKind::Unknown, "the platform's answer to " + path + " is no JSON");
        return json;
    }

    HttpPlatformStoreOptions m_options;
    BlockingHttpClient m_client;
};

} // namespace

std::unique_ptr<PlatformStore> makeHttpPlatformStore(HttpPlatformStoreOptions options)
{
    return std::make_unique<HttpPlatformStore>(std::move(options));
}

} // namespace ramphinge
