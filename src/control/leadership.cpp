#include "control/leadership.h"

#include "control/cellassigner.h"
#include "control/follower.h"
#include "control/repairs.h"

#include "common/log.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Updates of these sizes are sent by all replicas together. Smaller ones reach a fleet within milliseconds anyway; of larger ones so many calls at once
/// would time out.
constexpr std::size_t MinDelegatedBytes = 64 << 10;
constexpr std::size_t MaxDelegatedBytes = 1 << 20;

std::vector<VmName> namesOf(const std::map<VmName, Address> &vms)
{
    std::vector<VmName> names;
    for (const auto &[name, address] : vms) {
        names.push_back(name);
    }
    return names;
}

}

Leadership::Leadership(LeadershipOptions options, const StateMachine &state)
    : m_options(std::move(options))
    , m_state(state)
    , m_distribution(m_options.lease, namesOf(m_options.vms))
    , m_distributionLog(m_options.metrics)
{
}

void Leadership::startLeading(TimePoint now)
{
    m_isLeading = true;
    m_publishedVersion = m_state.version();
    m_publishedRevision = m_state.declarations().revision();
    m_publishedRoutesVersion = m_state.routeHistory().newest().version();
    m_fleetAggregate.reset();
    m_distribution.startLeading(m_publishedVersion, now);
}

void Leadership::stopLeading()
{
    m_isLeading = false;
    m_pendingRepairs.clear();
    // The commands of these waits were accepted; the next leader finds out whether they are in force everywhere when the client asks again.
    m_inForceWaits.clear();
    m_confirmationWaits.clear();
    m_distributionLog.reset();
}

void Leadership::publishIfChanged(TimePoint now)
{
    if (!m_isLeading || m_state.version() == m_publishedVersion) {
        return;
    }
    v1::Envelope envelope;
    *envelope.mutable_config_update() = makeConfigUpdate(m_state, m_publishedRevision, m_publishedRoutesVersion);
    m_distribution.recordPublication(m_state.version(), now, envelope.ByteSizeLong());
    const std::vector<std::string> reachable = distributionOrder(now);
    m_distributionLog.recordPublication({.version = m_state.version(),
                                         .routesVersion = m_state.routeHistory().newest().version(),
                                         .updateBytes = envelope.ByteSizeLong(),
                                         .vms = reachable.size()},
                                        now);
    sendRelayed(envelope.config_update(), reachable, m_options.send);
    m_publishedVersion = m_state.version();
    m_publishedRevision = m_state.declarations().revision();
    m_publishedRoutesVersion = m_state.routeHistory().newest().version();
}

void Leadership::handleHeartbeat(const VmName &from, const v1::ConfigHeartbeat &heartbeat, TimePoint now)
{
    v1::Envelope answer;
    if (heartbeat.has_tally()) {
        m_fleetAggregate.recordTally(from, heartbeat.incarnation(), heartbeat.tally(), now);
    }
    if (std::optional<v1::ConfigLease> lease = m_distribution.handleHeartbeat(heartbeat, m_options.hasQuorum(now), now)) {
        *answer.mutable_config_lease() = std::move(*lease);
        answer.mutable_config_lease()->set_leader(m_options.vm.value);
        const v1::FleetTally &fleet = m_fleetAggregate.fleetTally(now);
        if (heartbeat.has_tally() && heartbeat.fleet_digest() != fleet.digest()) {
            *answer.mutable_config_lease()->mutable_fleet() = fleet;
        }
        if (heartbeat.suspects_version() != m_state.crashLedger().version()) {
            *answer.mutable_config_lease()->mutable_suspects() = m_state.crashLedger().table();
        }
    } else {
        answer.mutable_config_lease()->set_leader(m_options.vm.value);
        answer.mutable_config_lease()->set_beat(heartbeat.beat());
    }
    nameReplicas(*answer.mutable_config_lease());
    m_options.send(from, std::move(answer));
    m_pendingRepairs.erase(from);
    if (m_distribution.needsRepair(from, now)) {
        m_pendingRepairs[from] = {.needsFullUpdate = heartbeat.whole(), .revision = heartbeat.revision(), .routesVersion = heartbeat.routes_version()};
    }
    answerInForceWaits(now);
    answerConfirmationWaits(now);
}

/// Names the voters, and says how new this VM's knowledge of the leader and of them is.
void Leadership::nameReplicas(v1::ConfigLease &lease) const
{
    if (m_options.replicas) {
        *lease.mutable_replicas() = m_options.replicas();
    }
    if (m_options.term) {
        lease.set_leader_term(m_options.term());
    }
    if (m_options.replicasPosition) {
        const raft::LogPosition position = m_options.replicasPosition();
        lease.set_replicas_term(position.term);
        lease.set_replicas_index(position.index);
    }
}

/// VMs that need the same repair relay one update to each other, so that the leader's work does not grow with the number of VMs that restarted
/// together.
void Leadership::sendRepairs(TimePoint now)
{
    std::map<HeldState, std::vector<std::string>> vmsByState;
    for (const auto &[vm, heldState] : std::exchange(m_pendingRepairs, {})) {
        vmsByState[heldState].push_back(vm.value);
    }
    for (const auto &[heldState, vms] : vmsByState) {
        sendRepair(heldState, vms, now);
    }
}

/// An update of some size for many VMs is sent by all replicas: through the links of entry VMs alone it would take seconds to reach a fleet that restarted. VMs
/// that it did not reach get the next one without the other replicas, which may be cut off from them.
void Leadership::sendRepair(const HeldState &heldState, const std::vector<std::string> &vms, TimePoint now)
{
    const v1::ConfigUpdate update = makeRepair(m_state, heldState);
    const std::size_t bytes = update.ByteSizeLong();
    std::vector<std::string> firstRepairs;
    std::vector<std::string> others;
    for (const std::string &vm : vms) {
        (m_distribution.wasRepairedInVain(VmName{vm}) ? others : firstRepairs).push_back(vm);
        m_distribution.recordRepair(VmName{vm}, bytes, now);
    }
    const bool isDelegated = bytes >= MinDelegatedBytes && bytes <= MaxDelegatedBytes;
    const std::vector<VmName> replicas = isDelegated ? reachableReplicas(now) : std::vector<VmName>{};
    if (replicas.empty() || firstRepairs.size() <= FanOut) {
        others.insert(others.end(), firstRepairs.begin(), firstRepairs.end());
    } else {
        sendRepairOrders(heldState, m_state.version(), firstRepairs, replicas, m_options.send);
    }
    for (std::size_t sent = 0; sent < std::min(others.size(), FanOut); ++sent) {
        m_distributionLog.recordRepair(bytes);
    }
    sendRelayed(update, others, m_options.send);
}

/// The control replicas that sent a heartbeat lately, including this VM.
std::vector<VmName> Leadership::reachableReplicas(TimePoint now) const
{
    std::vector<VmName> replicas;
    if (!m_options.replicas) {
        return replicas;
    }
    const std::vector<std::string> reachable = m_distribution.reachableVms(now);
    for (const std::string &replica : m_options.replicas()) {
        if (std::ranges::find(reachable, replica) != reachable.end()) {
            replicas.push_back(VmName{replica});
        }
    }
    return replicas;
}

/// Orders the VMs for the fan-out tree: control replicas first, since the first VMs relay to the others and the replicas have more bandwidth.
std::vector<std::string> Leadership::distributionOrder(TimePoint now) const
{
    std::vector<std::string> vms = m_distribution.reachableVms(now);
    if (m_options.replicas) {
        const google::protobuf::RepeatedPtrField<std::string> replicas = m_options.replicas();
        const auto isReplica = [&replicas](const std::string &vm) { return std::ranges::find(replicas, vm) != replicas.end(); };
        std::stable_partition(vms.begin(), vms.end(), isReplica);
    }
    return vms;
}

void Leadership::notifyWhenInForce(InForceCallback answer, TimePoint now)
{
    m_inForceWaits.push_back(InForceWait{.version = m_state.version(), .answer = std::move(answer)});
    answerInForceWaits(now);
}

void Leadership::notifyWhenConfirmed(std::function<void()> answer, Duration within, TimePoint now)
{
    m_confirmationWaits.push_back(ConfirmationWait{.version = m_state.version(), .within = within, .since = now, .answer = std::move(answer)});
    answerConfirmationWaits(now);
}

void Leadership::answerConfirmationWaits(TimePoint now)
{
    std::vector<ConfirmationWait> open;
    for (ConfirmationWait &wait : std::exchange(m_confirmationWaits, {})) {
        if (!m_distribution.isInForceWithin(wait.version, wait.within, now)) {
            open.push_back(std::move(wait));
            continue;
        }
        m_distribution.recordConfirmation(wait.version);
        m_distributionLog.recordConfirmation(wait.version, now - wait.since);
        wait.answer();
    }
    m_confirmationWaits.insert(m_confirmationWaits.end(), std::make_move_iterator(open.begin()), std::make_move_iterator(open.end()));
}

void Leadership::answerInForceWaits(TimePoint now)
{
    std::vector<InForceWait> open;
    std::vector<InForceWait> waits;
    waits.swap(m_inForceWaits);
    for (InForceWait &wait : waits) {
        const Distribution::Progress progress = m_distribution.progress(wait.version, now);
        if (progress.pending.empty()) {
            wait.answer(progress.lapsed);
        } else {
            open.push_back(std::move(wait));
        }
    }
    m_inForceWaits.insert(m_inForceWaits.end(), std::make_move_iterator(open.begin()), std::make_move_iterator(open.end()));
}

void Leadership::logProgress(TimePoint now)
{
    if (!m_distributionLog.hasUnloggedEvents()) {
        return;
    }
    const Distribution::Progress progress = m_distribution.progress(m_distributionLog.distributingVersion().value_or(0), now);
    m_distributionLog.recordProgress(progress.pending.size(), progress.lapsed.size(), now);
}

std::vector<v1::CellAssignment> Leadership::tick(TimePoint now)
{
    if (!m_isLeading) {
        return {};
    }
    sendRepairs(now);
    answerInForceWaits(now);
    answerConfirmationWaits(now);
    logProgress(now);
    return m_options.hasQuorum(now) ? nextCellAssignments(m_state, m_distribution, now) : std::vector<v1::CellAssignment>();
}

v1::MembersReply Leadership::members(TimePoint now) const
{
    v1::MembersReply reply;
    for (const VmStatus &status : m_distribution.statuses(now)) {
        v1::Member &member = *reply.add_members();
        member.set_vm(status.vm.value);
        member.set_data_centre(status.dataCentre.value);
        member.set_live(status.live);
        member.set_revision(status.revision.value);
        member.set_leader(status.vm == m_options.vm);
        const auto known = m_options.vms.find(status.vm);
        if (known != m_options.vms.end()) {
            member.set_peer_address(toString(known->second));
        }
    }
    return reply;
}

}
