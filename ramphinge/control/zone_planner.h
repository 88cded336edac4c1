// Plans a zone's replicas while this daemon holds the zone's planner lease, and gives hosts their
// orders.
//
// What keeps a late planner harmless (docs/design/orders.md): the plan is written by
// compare-and-swap; before each order the lease must outlast the order's own time limit; orders
// carry the epoch, which engines that honour fencing check; and nothing is ready before every host
// has been read back, for engines that ignore it only after older orders can't be in flight any
// more.
//
// Blocking; belongs to one actor.

#pragma once

#include <map>
#include <set>

#include "ramphinge/control/registrar.h"
#include "ramphinge/control/store_view.h"
#include "ramphinge/membership/host_view.h"
#include "ramphinge/replicas/planner.h"

namespace ramphinge {

// Sends one order to one host. Errors: Fenced if the host has seen a newer epoch; Unavailable,
// Unknown.
class HostOrders
{
public:
    virtual ~HostOrders() = default;
    virtual Status send(const Member &member, const HostOrder &order,
                        const std::vector<Endpoint> &peers, Duration timeout) = 0;
};

struct ZonePlannerOptions
{
    DaemonId daemon;
    ZoneId zone;
    std::string incarnation;
    PlannerOptions planner;
    bool enginesHonourFencing = false;
    Duration orderTimeout = std::chrono::seconds(1);
    Duration repeatOrderAfter = std::chrono::milliseconds(600);
    // A host is missing for the plan when no observation says that it answers.
    Duration rosterGrace = std::chrono::seconds(20); // Until a lapsed daemon leaves the roster.
};

// What the planner looks at; made by the I/O loop.
struct PlannerSight
{
    std::vector<Member> members;
    std::vector<HostObservation> observations;
};

// What a step did, for the time line.
struct PlannerReport
{
    bool wonRole = false;
    bool lostRole = false;
    bool holdsRole = false;
    bool wrotePlan = false;
    Epoch epoch;
    std::vector<HostOrder> ordersSent;
    PlanQuality quality;
};

class ZonePlanner
{
public:
    ZonePlanner(PlatformStore &store, const Clock &clock, ZonePlannerOptions options,
                HostOrders &orders)
        : m_store(store), m_clock(clock), m_options(std::move(options)), m_orders(orders)
    { }

    PlannerReport step(const StoreView &view, const RegistrationState &registration,
                       const PlannerSight &sight);

private:
    bool holdRole(const StoreView &view, const RegistrationState &registration,
                  PlannerReport &report);
    bool winRole(const StoreView &view, const RegistrationState &registration);
    bool readPlan();
    PlannerInput inputFrom(const Configuration &configuration, const PlannerSight &sight);
    void noteFormings();
    bool trusted(const HostObservation &seen) const;
    bool writePlan(const ReplicaPlan &next, PlannerReport &report);
    void sendOrders(const PlannerInput &input, const PlannerSight &sight,
                    const RegistrationState &registration, PlannerReport &report);
    void pruneRoster(const StoreView &view, const RegistrationState &registration);

    PlatformStore &m_store;
    const Clock &m_clock;
    ZonePlannerOptions m_options;
    HostOrders &m_orders;
    LeaseId m_roleLease = noLease; // The lease under which the role was won.
    bool m_planRead = false; // Since the role was won or a write failed.
    ReplicaPlan m_plan;
    Revision m_planRevision;
    std::map<Epoch, MonotonicTime> m_begunAt; // When a forming's epoch was first seen here.
    std::map<HostId, MonotonicTime> m_lastOrder;
    std::map<DaemonId, MonotonicTime> m_absentSince;
};

} // namespace ramphinge
