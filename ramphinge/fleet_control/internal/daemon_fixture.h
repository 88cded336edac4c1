// Test fixtures of this library: stores with fault injection, a simple document format, and the
// components of one daemon on top of a store.

#pragma once

#include <algorithm>
#include <functional>
#include <utility>

#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/fleet_control/store_sync.h"
#include "ramphinge/formation/order_channel.h"
#include "testing/fleet_emulator.h"
#include "testing/memory_key_value_store.h"
#include "testing/run_coroutine.h"

namespace ramphinge {

const StoreKey catalogKey("catalog");
const ServiceId service("chat");
const ModelId model("m");

inline EngineProfile singleModelProfile()
{
    EngineProfile engine;
    engine.slots = 8;
    engine.concurrentLoadLimit = 8;
    engine.loadStartsPerSecond = 8;
    engine.models.push_back(
        { model, 2, 1, 1, std::chrono::seconds(10), std::chrono::milliseconds(500) });
    return engine;
}

// A simple format: a catalog is its version number, followed by " keys" if it requires keys; a
// server's entry is its service and start time.
class TestDecoder : public DocumentDecoder
{
public:
    bool isCatalog(const StoreKey &key) const override { return key == catalogKey; }

    ServerName serverOf(const StoreKey &key) const override
    {
        return key.text().rfind("server/", 0) == 0 ? ServerName(key.text().substr(7))
                                                   : ServerName();
    }

    ZoneId evacuatedZoneOf(const StoreKey &key) const override
    {
        return key.text().rfind("evacuated/", 0) == 0 ? ZoneId(key.text().substr(10)) : ZoneId();
    }

    std::unique_ptr<CatalogDecoding> beginCatalog(const std::string &value) const override
    {
        return std::make_unique<TestDecoding>(value, catalogSteps, onStep);
    }

    int catalogSteps = 1; // In which a catalog is decoded.
    std::function<void()> onStep = [] {};

    static Result<CatalogContent> decodeCatalog(const std::string &value)
    {
        if (value == "damaged")
            return Error(ErrorKind::InvalidInput, "damaged");
        CatalogContent content;
        content.version = CatalogVersion(std::stoll(value));
        content.services = { { service, "", 0, singleModelProfile() } };
        if (value.find(" keys") != std::string::npos)
            content.accounts.emplace();
        return content;
    }

    Result<UpstreamServer> decodeServer(const ServerName &name,
                                        const std::string &value) const override
    {
        if (value == "damaged")
            return Error(ErrorKind::InvalidInput, "damaged");
        // "SERVICE" or "SERVICE START".
        const std::size_t space = std::min(value.find(' '), value.size());
        const int start = space < value.size() ? std::stoi(value.substr(space + 1)) : 0;
        UpstreamServer server;
        server.host = hostIdOf({ name, StartTime(start) });
        server.service = ServiceId(value.substr(0, space));
        return server;
    }

private:
    class TestDecoding : public CatalogDecoding
    {
    public:
        TestDecoding(std::string value, int steps, std::function<void()> onStep)
            : m_value(std::move(value)), m_stepsLeft(steps), m_onStep(std::move(onStep))
        { }

        Result<bool> step() override
        {
            m_onStep();
            const Result<CatalogContent> content = decodeCatalog(m_value);
            if (!content.ok())
                return content.error();
            return --m_stepsLeft <= 0;
        }
        CatalogContent take() override { return decodeCatalog(m_value).value(); }

    private:
        std::string m_value;
        int m_stepsLeft;
        std::function<void()> m_onStep;
    };
};

// Delivers orders to the emulated fleet.
class EmulatedChannel : public OrderChannel
{
public:
    explicit EmulatedChannel(FleetEmulator &fleet) : m_fleet(fleet) { }

    OrderAnswer send(const UpstreamServer &, const ServerOrder &order, Epoch, Duration,
                     Yield) override
    {
        ++sent;
        return m_fleet.order(order);
    }

    bool answers(const UpstreamServer &server, Duration, Yield) override
    {
        const std::vector<HostId> live = m_fleet.liveHosts();
        if (partitionedFrom.count(server.host) > 0)
            return false;
        return std::find(live.begin(), live.end(), server.host) != live.end();
    }

    int sent = 0;
    std::set<HostId> partitionedFrom; // Servers whose probes don't arrive.

private:
    FleetEmulator &m_fleet;
};

// The components of one daemon, on a store that several daemons may share.
class DaemonParts
{
public:
    DaemonParts(IoContext &io, ManualClock &clock, KeyValueStore &store, const std::string &name,
                StoreSyncOptions syncOptions = {})
        : dispatch(CatalogFreshness(std::chrono::seconds(5), std::chrono::milliseconds(500)),
                   TargetTable({}, 1), { 0.2, 20, std::chrono::seconds(10) }),
          log(clock, {}),
          sync(
              io, clock, syncOptions, store, decoder, fleet, dispatch, log, [] { return false; },
              [this] {
                  ++changes;
                  if (duringChange)
                      std::exchange(duringChange, {})();
              }),
          role(io, clock, roleOptions(name), store, fleet, log)
    { }

    static KeyHolderOptions roleOptions(const std::string &name)
    {
        KeyHolderOptions options;
        options.key = FleetKeys::planner();
        options.value = name;
        options.maxAcquireJitter = {};
        options.renewalInterval = {}; // No delays after failures.
        return options;
    }

    TestDecoder decoder;
    FleetState fleet;
    DispatchState dispatch;
    DecisionLog log;
    StoreSync sync;
    KeyHolder role;
    int changes = 0;
    std::function<void()> duringChange; // Runs once, when the sync reports the next change.
};

// Grants shorter leases than requested, as a store may.
class ShortLeaseStore : public MemoryKeyValueStore
{
public:
    using MemoryKeyValueStore::MemoryKeyValueStore;

    Result<GrantedLease> grantLease(Duration lifetime, Yield yield) override
    {
        return MemoryKeyValueStore::grantLease(lifetime / 2, yield);
    }
};

// Runs a callback between the next watch and the delivery of its answer.
class SlowWatchStore : public MemoryKeyValueStore
{
public:
    using MemoryKeyValueStore::MemoryKeyValueStore;

    Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait,
                             Yield yield) override
    {
        Result<WatchBatch> batch = MemoryKeyValueStore::watch(prefix, after, wait, yield);
        if (duringWatch)
            std::exchange(duringWatch, {})(yield);
        return batch;
    }

    std::function<void(Yield)> duringWatch;
};

// Runs a callback between the next list, lease grant or write and the delivery of its answer.
class SlowAnswerStore : public MemoryKeyValueStore
{
public:
    using MemoryKeyValueStore::MemoryKeyValueStore;

    Result<GrantedLease> grantLease(Duration lifetime, Yield yield) override
    {
        Result<GrantedLease> granted = MemoryKeyValueStore::grantLease(lifetime, yield);
        if (duringGrant)
            std::exchange(duringGrant, {})(yield);
        return granted;
    }

    Result<Revision> commit(const std::vector<StoreWrite> &writes, Yield yield) override
    {
        Result<Revision> written = MemoryKeyValueStore::commit(writes, yield);
        if (duringCommit)
            std::exchange(duringCommit, {})(yield);
        return written;
    }

    Result<StoreSnapshot> list(const StoreKey &prefix, Yield yield) override
    {
        Result<StoreSnapshot> snapshot = MemoryKeyValueStore::list(prefix, yield);
        if (duringList)
            std::exchange(duringList, {})(yield);
        return snapshot;
    }

    std::function<void(Yield)> duringList;
    std::function<void(Yield)> duringGrant;
    std::function<void(Yield)> duringCommit;
};

// Runs a test body as a coroutine, with an in-memory store and a manual clock.
class TestEnvironment
{
public:
    ManualClock clock;

    void run(const std::function<void(MemoryKeyValueStore &, IoContext &, Yield)> &body)
    {
        IoContext io(1);
        MemoryKeyValueStore store(io, clock);
        runCoroutine(io, [&](Yield yield) { body(store, io, yield); });
    }
};

} // namespace ramphinge
