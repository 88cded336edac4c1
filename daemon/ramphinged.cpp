// The daemon: joins the libraries, runs the I/O loop, shuts down gracefully.
//
//   ramphinged --settings daemon.json

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "daemon/fleet_daemon.h"
#include "ramphinge/admin/admin_api.h"
#include "ramphinge/control/actors.h"
#include "ramphinge/gateway/gateway.h"
#include "ramphinge/observe/crash_report.h"
#include "ramphinge/observe/log.h"

namespace {

using namespace ramphinge;

// Health is red for so long before the port closes: the balancer's probes must see it.
constexpr Duration drainNotice = std::chrono::seconds(1);
constexpr Duration openPoll = std::chrono::milliseconds(20);
constexpr Duration drainPoll = std::chrono::milliseconds(20);
constexpr std::size_t adminBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t handoverStack = 128 * 1024;

GatewayOptions gatewayOptions(const Settings &settings)
{
    GatewayOptions options;
    options.zone = settings.zone;
    for (const ZoneLatency &latency : settings.zoneLatencies)
        options.zones.push_back({ latency.zone, latency.oneWay });
    options.defaults.deadline = settings.requestDeadline;
    options.firstTokenDeadline = settings.firstTokenDeadline;
    options.routing = settings.routing;
    options.fairness = settings.fairness;
    return options;
}

class Daemon
{
public:
    explicit Daemon(Settings settings)
        : m_settings(std::move(settings)), m_self(recordOf(m_settings)),
          m_timeline(m_settings.daemon, m_clock, m_settings.timelineFile),
          m_hub(m_io, m_clock, m_settings, m_self, m_timeline, m_metrics, m_board),
          m_gateway(m_io, m_clock, gatewayOptions(m_settings), m_hub, m_timeline, m_metrics),
          m_actors(m_io, m_clock, m_settings, m_self, m_hub, m_board),
          m_admin({ m_io, m_settings, m_hub, m_gateway, m_actors, m_timeline, m_metrics,
                    [this] { beginDrain(); } }),
          m_signals(m_io, SIGTERM, SIGINT)
    { }

    Status run()
    {
        if (const Status started = start(); !started.ok())
            return started;
        m_signals.async_wait([this](const auto &, int) { beginDrain(); });
        record(EventKind::Started);
        logInfo("daemon", "started", { { "zone", m_settings.zone.text() } });
        runLoop(m_io);
        m_actors.stop();
        record(EventKind::Stopped);
        logInfo("daemon", "stopped");
        if (m_failure)
            return *m_failure;
        return Done {};
    }

private:
    static DaemonRecord recordOf(const Settings &settings)
    {
        return { settings.daemon, settings.zone, settings.advertisedPeers, settings.administration,
                 Random(entropySeed()).token() };
    }

    Status start()
    {
        if (const Status hub = m_hub.start(m_gateway, m_actors); !hub.ok())
            return hub;
        HttpServerOptions adminOptions;
        adminOptions.maxBodyBytes = adminBodyBytes;
        auto admin = HttpServer::listen(m_io, m_settings.administration, adminOptions, m_admin);
        if (!admin.ok())
            return admin.error();
        m_administration = admin.value();
        m_actors.start();
        spawnCoroutine(m_io, [this](Yield yield) { openToCallers(yield); });
        return Done {};
    }

    // Callers find a closed port, not refusals, until the daemon can serve for the first time: of a
    // request that was never taken in, nobody has to be told whether an earlier try ran.
    void openToCallers(Yield yield)
    {
        while (!m_draining && m_hub.serving(m_clock.now()).mode == ServingMode::Refusing)
            sleepFor(m_io, openPoll, yield);
        if (m_draining)
            return;
        HttpServerOptions options;
        options.maxBodyBytes = m_settings.maxBodyBytes;
        options.maxConnections = m_settings.maxConnections;
        auto callers = HttpServer::listen(m_io, m_settings.callers, options, m_gateway);
        if (!callers.ok()) {
            m_failure = callers.error();
            beginDrain();
            return;
        }
        m_callers = callers.value();
    }

    void record(EventKind kind)
    {
        TimelineEvent event;
        event.kind = kind;
        m_timeline.record(event);
    }

    void beginDrain()
    {
        if (m_draining)
            return;
        m_draining = true;
        record(EventKind::Stopping);
        logInfo("daemon", "shutting down gracefully");
        spawnCoroutine(
            m_io, [this](Yield yield) { drain(yield); }, handoverStack);
    }

    void drain(Yield yield)
    {
        m_gateway.startDraining();
        sleepFor(m_io, drainNotice, yield);
        if (m_callers)
            finishRequests(yield);
        // Last, since requests in progress may yet settle their keys.
        m_hub.handOver(yield);
        m_hub.stop();
        m_administration->stopAccepting();
        sleepFor(m_io, drainPoll, yield);
        m_io.stop();
    }

    void finishRequests(Yield yield)
    {
        m_callers->stopAccepting();
        const MonotonicTime until = m_clock.now() + m_settings.drainLimit;
        while (m_callers->openExchanges() > 0 && m_clock.now() < until)
            sleepFor(m_io, drainPoll, yield);
        if (m_callers->openExchanges() > 0)
            logWarning("daemon", "the drain limit passed with requests in progress",
                       { { "requests", m_callers->openExchanges() } });
    }

    Settings m_settings;
    DaemonRecord m_self;
    SystemClock m_clock;
    IoContext m_io { 1 };
    Timeline m_timeline;
    Metrics m_metrics;
    ConfirmationBoard m_board;
    Hub m_hub;
    Gateway m_gateway;
    ControlActors m_actors;
    AdminApi m_admin;
    boost::asio::signal_set m_signals;
    std::shared_ptr<HttpServer> m_callers;
    std::shared_ptr<HttpServer> m_administration;
    bool m_draining = false;
    std::optional<Error> m_failure; // Why the daemon can't go on.
};

int badSettings(const Error &error)
{
    std::cerr << error.message() << '\n';
    return 2;
}

[[noreturn]] void endAfter(const Status &ran)
{
    if (!ran.ok())
        logError("daemon", ran.error().message());
    endProcess(ran.ok() ? 0 : 1);
}

int checkSettings(const std::string &text)
{
    if (isFleetSettings(text)) {
        const Result<FleetSettings> settings = parseFleetSettings(text);
        if (!settings.ok())
            return badSettings(settings.error());
    } else if (const Result<Settings> settings = parseSettings(text); !settings.ok()) {
        return badSettings(settings.error());
    }
    std::cout << "the settings are valid\n";
    return 0;
}

int runAlone(const std::string &text)
{
    Result<Settings> settings = parseSettings(text);
    if (!settings.ok())
        return badSettings(settings.error());
    initializeLogging(settings.value().logLevel, settings.value().daemon);
    installCrashReport(settings.value().daemon);
    // Never destroyed: see endProcess().
    endAfter((new Daemon(std::move(settings.value())))->run());
}

int runInFleet(const std::string &text, const std::string &path)
{
    const Result<FleetSettings> settings = parseFleetSettings(text);
    if (!settings.ok())
        return badSettings(settings.error());
    initializeLogging(settings.value().logLevel, settings.value().daemon);
    installCrashReport(settings.value().daemon);
    endAfter(runFleetDaemon(settings.value(), path));
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Until the daemon listens for it: a request to reload must not end a process that starts.
    std::signal(SIGHUP, SIG_IGN);
    cxxopts::Options options("ramphinged", "Serving system for models whose replicas span hosts");
    options.add_options()("s,settings", "settings file (JSON)", cxxopts::value<std::string>())(
        "check-settings", "check the settings file and end")("h,help", "show this");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        const std::string path = arguments["settings"].as<std::string>();
        const Result<std::string> text = readFile(path);
        if (!text.ok())
            return badSettings(text.error());
        if (arguments.count("check-settings") > 0)
            return checkSettings(text.value());
        return isFleetSettings(text.value()) ? runInFleet(text.value(), path)
                                             : runAlone(text.value());
    } catch (const std::exception &e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
