// Plans a zone's replicas while this daemon holds the zone's planner lease, and sends orders to the
// hosts.
//
// Safety against outdated planners: the plan is written by compare-and-swap; before each order the
// lease must outlast the order's timeout; orders carry the epoch, which engines with fencing check;
// and a replica is ready only after the state of every host was read back. With engines that ignore
// fencing, that read must come after all older orders have timed out.
//
// Blocking; used by one actor.

#pragma once

#include <map>
#include <set>

#include "ramphinge/control/registrar.h"
#include "ramphinge/control/store_view.h"
#include "ramphinge/membership/host_view.h"
#include "ramphinge/replicas/planner.h"

namespace ramphinge {

// Sends an order to a host. Errors: Fenced if the host has seen a newer epoch; Unavailable,
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
    // A host is missing if no observation shows that it responds.
    Duration rosterGrace =
        std::chrono::seconds(20); // Until a daemon whose lease lapsed is removed from the roster.
};

// Input of the planner, from the I/O loop.
struct PlannerSight
{
    std::vector<Member> members;
    std::vector<HostObservation> observations;
};

// The actions of a step, for the timeline.
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
    LeaseId m_roleLease = noLease; // The lease under which the role was acquired.
    bool m_planRead = false; // Since the role was acquired or a write failed.
    ReplicaPlan m_plan;
    Revision m_planRevision;
    std::map<Epoch, MonotonicTime>
        m_begunAt; // When an epoch in the forming phase was first seen here.
    std::map<HostId, MonotonicTime> m_lastOrder;
    std::map<DaemonId, MonotonicTime> m_absentSince;
};

} // namespace ramphinge
