#include "control/repairs.h"

#include "common/log.h"
#include "control/distribution.h"
#include "control/follower.h"

namespace cumindyke
{

v1::ConfigUpdate makeRepair(const StateMachine &state, const HeldState &heldState)
{
    return heldState.needsFullUpdate ? makeFullConfigUpdate(state) : makeConfigUpdate(state, Revision{heldState.revision}, heldState.routesVersion);
}

void sendRelayed(const v1::ConfigUpdate &update, const std::vector<std::string> &vms, const SendEnvelope &send)
{
    v1::Envelope envelope;
    *envelope.mutable_config_update() = update;
    for (const Branch &branch : splitFanOut(vms)) {
        envelope.mutable_config_update()->mutable_relay()->Assign(branch.relay.begin(), branch.relay.end());
        send(branch.child, envelope);
    }
}

void sendRepairOrders(const HeldState &heldState,
                      std::uint64_t version,
                      const std::vector<std::string> &vms,
                      const std::vector<VmName> &replicas,
                      const SendEnvelope &send)
{
    v1::RepairOrder order;
    order.set_version(version);
    order.set_whole(heldState.needsFullUpdate);
    order.set_revision(heldState.revision);
    order.set_routes_version(heldState.routesVersion);
    for (std::size_t i = 0; i < replicas.size() && i < vms.size(); ++i) {
        v1::Envelope envelope;
        *envelope.mutable_repair_order() = order;
        for (std::size_t vm = i; vm < vms.size(); vm += replicas.size()) {
            envelope.mutable_repair_order()->add_vms(vms[vm]);
        }
        send(replicas[i], std::move(envelope));
    }
}

void carryOutRepairOrder(const v1::RepairOrder &order, const StateMachine &state, const SendEnvelope &send)
{
    const bool hasVersion = state.version() >= order.version();
    logChange("control",
              "repair-order",
              {{"version", std::to_string(order.version())}, {"vms", std::to_string(order.vms_size())}, {"has_version", hasVersion ? "yes" : "no"}});
    if (!hasVersion) {
        return;
    }
    const HeldState heldState{.needsFullUpdate = order.whole(), .revision = order.revision(), .routesVersion = order.routes_version()};
    sendRelayed(makeRepair(state, heldState), {order.vms().begin(), order.vms().end()}, send);
}

}
