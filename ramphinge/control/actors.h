// The control actors. Each is responsible for one task that calls the platform, runs on its own
// thread, and reports its results to the hub on the I/O loop.
//
//   watcher      follows the platform's keys             -> Hub::setView
//   members      follows the platform's membership list  -> Hub::setMembers
//   registrar    lease, registration, slots of keys      -> Hub::setRegistration, addReign
//   planner      the zone's replicas and their orders    -> Hub::notePlanner
//   changer      changes of configuration                -> whoever asked
//
// An actor that waits for a slow platform doesn't delay the others.

#pragma once

#include <functional>
#include <memory>

#include "ramphinge/control/hub.h"

namespace ramphinge {

using ChangeCallback = std::function<void(const Result<ChangeResult> &)>;

class ControlActors : public HubListener
{
public:
    ControlActors(IoContext &io, const Clock &clock, const Settings &settings, DaemonRecord self,
                  Hub &hub, ConfirmationBoard &board);
    ~ControlActors() override;

    void start();

    // Applies a change; `done` is called on the I/O loop.
    void apply(ChangeRequest request, ChangeCallback done);

    // Ends the registration and stops all actors. Blocks for the duration of a few calls at most.
    void stop();

    void onView(StoreViewPtr view) override;
    void onSight(std::shared_ptr<const PlannerSight> sight) override;
    void onHandover(const SlotId &slot, std::int64_t reign) override;
    void onCopyHeld(const SlotId &slot, std::int64_t reign) override;
    void onCopyPlaced(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt,
                      const std::string &copyIncarnation) override;
    void onReleased(const SlotId &slot) override;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ramphinge
