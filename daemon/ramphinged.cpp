// The daemon: wires the libraries together, runs the event loop and shuts down gracefully.
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

// Time between failing the health check and closing the port, so that the load balancer's probes
// see the failure first.
constexpr Duration readinessFailureNotice = std::chrono::seconds(1);
constexpr Duration servingPollInterval = std::chrono::milliseconds(20);
constexpr Duration drainPollInterval = std::chrono::milliseconds(20);
constexpr std::size_t maxAdminBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t drainStackBytes = 128 * 1024;

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
                    [this] { startDrain(); } }),
          m_signals(m_io, SIGTERM, SIGINT)
    { }

    Status run()
    {
        if (const Status started = start(); !started.ok())
            return started;
        m_signals.async_wait([this](const auto &, int) { startDrain(); });
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

    // At least what one of the largest requests at each port needs.
    static std::size_t connectionMemoryBytes(const Settings &settings)
    {
        const std::size_t largest = 2 * (settings.maxBodyBytes + maxAdminBodyBytes);
        return std::max(std::size_t(settings.connectionMemoryMb) * 1024 * 1024, 2 * largest);
    }

    Status start()
    {
        if (const Status hub = m_hub.start(m_gateway, m_actors); !hub.ok())
            return hub;
        HttpServerOptions adminOptions;
        adminOptions.maxBodyBytes = maxAdminBodyBytes;
        adminOptions.memory = &m_connectionMemory;
        auto admin = HttpServer::listen(m_io, m_settings.administration, adminOptions, m_admin);
        if (!admin.ok())
            return admin.error();
        m_adminServer = admin.value();
        m_actors.start();
        spawnCoroutine(m_io, [this](Yield yield) { listenWhenServing(yield); });
        return Done {};
    }

    // Opens the callers' port once the daemon can serve for the first time. Until then connections
    // are refused rather than requests answered with errors: a request that was never received
    // raises no question whether an earlier attempt was executed.
    void listenWhenServing(Yield yield)
    {
        while (!m_draining && m_hub.serving(m_clock.now()).mode == ServingMode::Refusing)
            sleepFor(m_io, servingPollInterval, yield);
        if (m_draining)
            return;
        HttpServerOptions options;
        options.maxBodyBytes = m_settings.maxBodyBytes;
        options.maxConnections = m_settings.maxConnections;
        options.memory = &m_connectionMemory;
        auto callers = HttpServer::listen(m_io, m_settings.callers, options, m_gateway);
        if (!callers.ok()) {
            m_failure = callers.error();
            startDrain();
            return;
        }
        m_callerServer = callers.value();
    }

    void record(EventKind kind)
    {
        TimelineEvent event;
        event.kind = kind;
        m_timeline.record(event);
    }

    void startDrain()
    {
        if (m_draining)
            return;
        m_draining = true;
        record(EventKind::Stopping);
        logInfo("daemon", "shutting down gracefully");
        spawnCoroutine(
            m_io, [this](Yield yield) { drain(yield); }, drainStackBytes);
    }

    void drain(Yield yield)
    {
        m_gateway.startDraining();
        sleepFor(m_io, readinessFailureNotice, yield);
        if (m_callerServer)
            finishRequests(yield);
        // After the requests in progress, which may still settle their idempotency keys.
        m_hub.handOver(yield);
        m_hub.stop();
        m_adminServer->stopAccepting();
        sleepFor(m_io, drainPollInterval, yield);
        m_io.stop();
    }

    void finishRequests(Yield yield)
    {
        m_callerServer->stopAccepting();
        const MonotonicTime until = m_clock.now() + m_settings.drainLimit;
        while (m_callerServer->openExchanges() > 0 && m_clock.now() < until)
            sleepFor(m_io, drainPollInterval, yield);
        if (m_callerServer->openExchanges() > 0)
            logWarning("daemon", "drain limit reached with requests still in progress",
                       { { "requests", m_callerServer->openExchanges() } });
    }

    Settings m_settings;
    DaemonRecord m_self;
    SystemClock m_clock;
    ConnectionMemory m_connectionMemory { { connectionMemoryBytes(m_settings) } };
    IoContext m_io { 1 };
    Timeline m_timeline;
    Metrics m_metrics;
    ConfirmationBoard m_board;
    Hub m_hub;
    Gateway m_gateway;
    ControlActors m_actors;
    AdminApi m_admin;
    boost::asio::signal_set m_signals;
    std::shared_ptr<HttpServer> m_callerServer;
    std::shared_ptr<HttpServer> m_adminServer;
    bool m_draining = false;
    std::optional<Error> m_failure; // The error that made the daemon stop.
};

int reportInvalidSettings(const Error &error)
{
    std::cerr << error.message() << '\n';
    return 2;
}

[[noreturn]] void exitWithStatus(const Status &ran)
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
            return reportInvalidSettings(settings.error());
    } else if (const Result<Settings> settings = parseSettings(text); !settings.ok()) {
        return reportInvalidSettings(settings.error());
    }
    std::cout << "the settings are valid\n";
    return 0;
}

int runStandalone(const std::string &text)
{
    Result<Settings> settings = parseSettings(text);
    if (!settings.ok())
        return reportInvalidSettings(settings.error());
    initializeLogging(settings.value().logLevel, settings.value().daemon);
    installCrashReport(settings.value().daemon);
    // Never destroyed: see endProcess().
    exitWithStatus((new Daemon(std::move(settings.value())))->run());
}

int runInFleet(const std::string &text, const std::string &path)
{
    const Result<FleetSettings> settings = parseFleetSettings(text);
    if (!settings.ok())
        return reportInvalidSettings(settings.error());
    initializeLogging(settings.value().logLevel, settings.value().daemon);
    installCrashReport(settings.value().daemon);
    exitWithStatus(runFleetDaemon(settings.value(), path));
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Ignored until the daemon handles it: a reload request must not terminate a starting process.
    std::signal(SIGHUP, SIG_IGN);
    cxxopts::Options options("ramphinged", "Serving system for models whose replicas span hosts");
    options.add_options()("s,settings", "settings file (JSON)", cxxopts::value<std::string>())(
        "check-settings", "check the settings file and exit")("h,help", "show this");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        const std::string path = arguments["settings"].as<std::string>();
        const Result<std::string> text = readFile(path);
        if (!text.ok())
            return reportInvalidSettings(text.error());
        if (arguments.count("check-settings") > 0)
            return checkSettings(text.value());
        return isFleetSettings(text.value()) ? runInFleet(text.value(), path)
                                             : runStandalone(text.value());
    } catch (const std::exception &e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
