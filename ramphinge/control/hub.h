// The daemon's state and its links, on the I/O loop: combines the platform's state (from the
// actors), reports of other daemons and its own observations, and updates the gateway.

#pragma once

#include <functional>
#include <memory>

#include "ramphinge/control/claim_owner.h"
#include "ramphinge/control/config_changer.h"
#include "ramphinge/control/config_holder.h"
#include "ramphinge/control/host_prober.h"
#include "ramphinge/control/registrar.h"
#include "ramphinge/control/store_view.h"
#include "ramphinge/control/zone_planner.h"
#include "ramphinge/gateway/claim_service.h"
#include "ramphinge/gateway/gateway.h"
#include "ramphinge/peers/peer_network.h"
#include "ramphinge/settings/settings.h"

namespace ramphinge {

// Notifications from the hub to the actors. Called on the I/O loop; must not block.
class HubListener
{
public:
    virtual ~HubListener() = default;
    virtual void onView(StoreViewPtr view) = 0;
    virtual void onSight(std::shared_ptr<const PlannerSight> sight) = 0;
    virtual void onHandover(const SlotId &slot, std::int64_t reign) = 0;

    // This daemon stores a copy of another owner's records; another daemon stores, or no longer
    // stores, a copy of this one's.
    virtual void onCopyHeld(const SlotId &slot, std::int64_t reign) = 0;
    virtual void onCopyPlaced(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt,
                              const std::string &copyIncarnation) = 0;
    virtual void onReleased(const SlotId &slot) = 0;
};

// Lives on the I/O loop, except for the constructor.
class Hub : public PeerHandler, public ClaimService
{
public:
    Hub(IoContext &io, const Clock &clock, const Settings &settings, DaemonRecord self,
        Timeline &timeline, Metrics &metrics, ConfirmationBoard &board);
    ~Hub() override;

    // Opens the port for peers. Errors: Unavailable.
    Status start(Gateway &gateway, HubListener &listener);

    // Called by the actors, on the I/O loop.
    void setView(StoreViewPtr view);
    void setMembers(const MemberList &members);
    void setRegistration(const RegistrationState &registration);
    void addReign(const SlotReign &reign, LeaseId lease);
    void notePlanner(const PlannerReport &report);

    // The result of HubListener::onCopyPlaced.
    void noteCopy(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt, bool recorded);

    // Whether the daemon serves now, and in which mode.
    ServingDecision serving(MonotonicTime now) const;

    // Hands owned slots over to other daemons, and waits for their acknowledgement for a short
    // time.
    void handOver(Yield yield);
    void stop();

    // For operators.
    nlohmann::json status() const;
    const ConfigHolder &config() const;
    StoreViewPtr view() const;

    void onMessage(const DaemonId &from, const PeerMessage &message) override;
    void onLink(const DaemonId &peer, bool up) override;

    Result<ClaimAnswer> claim(const ClaimAttempt &attempt, Yield yield) override;
    void settle(const ClaimAttempt &attempt, ClaimOutcome outcome,
                std::optional<KeptAnswer> answer) override;
    IdempotencyKey makeKey() override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ramphinge
