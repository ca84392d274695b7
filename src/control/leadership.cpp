#include "control/leadership.h"

#include "control/cellassigner.h"
#include "control/follower.h"

#include "common/log.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

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
    , m_spreadLog(m_options.metrics)
{
}

void Leadership::lead(TimePoint now)
{
    m_leads = true;
    m_pushedVersion = m_state.version();
    m_pushedRevision = m_state.declarations().revision();
    m_pushedRoutes = m_state.routeHistory().newest().version();
    m_tallies.reset();
    m_distribution.lead(m_pushedVersion, now);
}

void Leadership::stopLeading()
{
    m_leads = false;
    m_repairs.clear();
    // Their commands were accepted; whether they are in force everywhere, the next leader knows when the client asks it.
    m_waits.clear();
    m_confirmations.clear();
    m_spreadLog.stop();
}

void Leadership::applied(TimePoint now)
{
    if (!m_leads || m_state.version() == m_pushedVersion) {
        return;
    }
    v1::Envelope envelope;
    *envelope.mutable_config_update() = makeConfigUpdate(m_state, m_pushedRevision, m_pushedRoutes);
    m_distribution.published(m_state.version(), now, envelope.ByteSizeLong());
    const std::vector<std::string> reachable = spreadOrder(now);
    const std::vector<Branch> tree = branches(reachable);
    m_spreadLog.published({.version = m_state.version(),
                           .routesVersion = m_state.routeHistory().newest().version(),
                           .updateBytes = envelope.ByteSizeLong(),
                           .vms = reachable.size()},
                          now);
    for (const Branch &branch : tree) {
        envelope.mutable_config_update()->mutable_relay()->Assign(branch.relay.begin(), branch.relay.end());
        m_options.send(branch.child, envelope);
    }
    m_pushedVersion = m_state.version();
    m_pushedRevision = m_state.declarations().revision();
    m_pushedRoutes = m_state.routeHistory().newest().version();
}

void Leadership::heartbeat(const VmName &from, const v1::ConfigHeartbeat &heartbeat, TimePoint now)
{
    v1::Envelope answer;
    if (heartbeat.has_tally()) {
        m_tallies.take(from, heartbeat.incarnation(), heartbeat.tally(), now);
    }
    if (std::optional<v1::ConfigLease> lease = m_distribution.heartbeat(heartbeat, m_options.hasQuorum(now), now)) {
        *answer.mutable_config_lease() = std::move(*lease);
        answer.mutable_config_lease()->set_leader(m_options.vm.value);
        if (m_options.replicas) {
            *answer.mutable_config_lease()->mutable_replicas() = m_options.replicas();
        }
        const v1::FleetTally &fleet = m_tallies.fleet(now);
        if (heartbeat.has_tally() && heartbeat.fleet_digest() != fleet.digest()) {
            *answer.mutable_config_lease()->mutable_fleet() = fleet;
        }
    } else {
        answer.mutable_config_lease()->set_leader(m_options.vm.value);
        answer.mutable_config_lease()->set_beat(heartbeat.beat());
    }
    m_options.send(from, std::move(answer));
    m_repairs.erase(from);
    if (m_distribution.needsRepair(from, now)) {
        m_repairs[from] = {.needsWhole = heartbeat.whole(), .revision = heartbeat.revision(), .routesVersion = heartbeat.routes_version()};
    }
    answerWaits(now);
    confirmDue(now);
}

/// VMs that lack the same pass one update on to each other, so that the leader's work does not grow with the VMs that restarted together.
void Leadership::sendRepairs(TimePoint now)
{
    std::map<Holding, std::vector<std::string>> vmsOf;
    for (const auto &[vm, holding] : std::exchange(m_repairs, {})) {
        vmsOf[holding].push_back(vm.value);
    }
    for (const auto &[holding, vms] : vmsOf) {
        v1::Envelope repair;
        *repair.mutable_config_update()
            = holding.needsWhole ? makeFullConfigUpdate(m_state) : makeConfigUpdate(m_state, Revision{holding.revision}, holding.routesVersion);
        for (const std::string &vm : vms) {
            m_distribution.repairSent(VmName{vm}, repair.ByteSizeLong(), now);
        }
        for (const Branch &branch : branches(vms)) {
            repair.mutable_config_update()->mutable_relay()->Assign(branch.relay.begin(), branch.relay.end());
            m_spreadLog.repaired(repair.ByteSizeLong());
            m_options.send(branch.child, repair);
        }
    }
}

/// The control replicas first: they pass on to the others, and their links are wide.
std::vector<std::string> Leadership::spreadOrder(TimePoint now) const
{
    std::vector<std::string> vms = m_distribution.reachable(now);
    if (m_options.replicas) {
        const google::protobuf::RepeatedPtrField<std::string> replicas = m_options.replicas();
        const auto isReplica = [&replicas](const std::string &vm) { return std::ranges::find(replicas, vm) != replicas.end(); };
        std::stable_partition(vms.begin(), vms.end(), isReplica);
    }
    return vms;
}

void Leadership::waitUntilInForce(WaitAnswer answer, TimePoint now)
{
    m_waits.push_back(Wait{.version = m_state.version(), .answer = std::move(answer)});
    answerWaits(now);
}

void Leadership::waitUntilConfirmed(std::function<void()> answer, TimePoint now)
{
    m_confirmations.push_back(Confirmation{.version = m_state.version(), .since = now, .answer = std::move(answer)});
    confirmDue(now);
}

void Leadership::confirmDue(TimePoint now)
{
    std::vector<Confirmation> open;
    for (Confirmation &confirmation : std::exchange(m_confirmations, {})) {
        if (!m_distribution.inForceWithin(confirmation.version, m_options.confirmWithin, now)) {
            open.push_back(std::move(confirmation));
            continue;
        }
        m_distribution.confirmed(confirmation.version);
        m_spreadLog.confirmed(confirmation.version, now - confirmation.since);
        confirmation.answer();
    }
    m_confirmations.insert(m_confirmations.end(), std::make_move_iterator(open.begin()), std::make_move_iterator(open.end()));
}

void Leadership::answerWaits(TimePoint now)
{
    std::vector<Wait> open;
    std::vector<Wait> waits;
    waits.swap(m_waits);
    for (Wait &wait : waits) {
        const Distribution::Spread spread = m_distribution.spread(wait.version, now);
        if (spread.pending.empty()) {
            wait.answer(spread.lapsed);
        } else {
            open.push_back(std::move(wait));
        }
    }
    m_waits.insert(m_waits.end(), std::make_move_iterator(open.begin()), std::make_move_iterator(open.end()));
}

void Leadership::logSpread(TimePoint now)
{
    if (!m_spreadLog.hasNews()) {
        return;
    }
    const Distribution::Spread spread = m_distribution.spread(m_spreadLog.spreading().value_or(0), now);
    m_spreadLog.look(spread.pending.size(), spread.lapsed.size(), now);
}

std::vector<v1::CellAssignment> Leadership::tick(TimePoint now)
{
    if (!m_leads) {
        return {};
    }
    sendRepairs(now);
    answerWaits(now);
    confirmDue(now);
    logSpread(now);
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
