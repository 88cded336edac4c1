// The control actors: each owns one matter that needs the platform, on a thread of its own, and
// tells the hub on the I/O loop what it learned.
//
//   watcher      follows the platform's keys             -> Hub::setView
//   members      follows the platform's membership list  -> Hub::setMembers
//   registrar    lease, registration, slots of keys      -> Hub::setRegistration, addReign
//   planner      the zone's replicas and their orders    -> Hub::notePlanner
//   changer      changes of configuration                -> whoever asked
//
// An actor that waits for a slow platform holds up nobody but itself.

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

    // Gives the registration back and ends all actors. Blocks for at most some calls' time.
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
