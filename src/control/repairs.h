#pragma once

#include "control/statemachine.h"

#include "peer.pb.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cumindyke
{

/// The configuration that a VM has; VMs with equal states need the same repair.
struct HeldState
{
    bool needsFullUpdate = false;
    std::uint64_t revision = 0;
    std::uint64_t routesVersion = 0;

    auto operator<=>(const HeldState &) const = default;
};

using SendEnvelope = std::function<void(const VmName &to, v1::Envelope envelope)>;

/// Returns the update from a VM's configuration to the newest one, without a relay list.
v1::ConfigUpdate makeRepair(const StateMachine &state, const HeldState &heldState);

/// Sends an update to FanOut of the VMs, which relay it to the others.
void sendRelayed(const v1::ConfigUpdate &update, const std::vector<std::string> &vms, const SendEnvelope &send);

/// Orders the control replicas, which may include this VM, to send a repair from their own states. The VMs are split evenly over the replicas. An order
/// holds names of VMs, not the update. "version": that of the newest configuration.
void sendRepairOrders(const HeldState &heldState,
                      std::uint64_t version,
                      const std::vector<std::string> &vms,
                      const std::vector<VmName> &replicas,
                      const SendEnvelope &send);

/// Sends the repair that the leader ordered. Does nothing if this VM lacks the version, or is no replica: the VMs then get the leader's next repair.
void carryOutRepairOrder(const v1::RepairOrder &order, const StateMachine &state, const SendEnvelope &send);

}
