#include "control/evacuations.h"

namespace cumindyke
{

namespace
{

v1::CommandReply makeReply(v1::CommandReply::Outcome outcome, std::uint64_t version, const std::string &message = {})
{
    v1::CommandReply reply;
    reply.set_outcome(outcome);
    reply.set_revision(version);
    reply.set_message(message);
    return reply;
}

}

v1::CommandReply Evacuations::apply(const v1::EvacuationOrder &order, std::uint64_t nextVersion, WallTime now)
{
    const DataCentreName dataCentre{order.data_centre()};
    const auto known = m_evacuations.find(dataCentre);
    const bool isActive = known != m_evacuations.end() && known->second.active();
    if (known == m_evacuations.end() && (dataCentre.value.empty() || m_evacuations.size() >= MaxDataCentres)) {
        return makeReply(v1::CommandReply::INVALID, nextVersion, "there is no such data centre: check its name");
    }
    if (known != m_evacuations.end() && order.active() != isActive && known->second.ordered_version() > order.base_version()) {
        return makeReply(
            v1::CommandReply::CONFLICT, known->second.ordered_version(), "a later order was accepted first: look at it, then send the order again");
    }
    v1::Evacuation &evacuation = m_evacuations[dataCentre];
    if (known == m_evacuations.end() || order.active() != isActive) {
        evacuation.set_changed_at_ms(now.value);
    }
    evacuation.set_data_centre(order.data_centre());
    evacuation.set_active(order.active());
    // Also of an order that changes nothing: an earlier one may still be delivered.
    evacuation.set_ordered_version(nextVersion);
    return makeReply(v1::CommandReply::ACCEPTED, nextVersion);
}

std::set<DataCentreName> Evacuations::active() const
{
    std::set<DataCentreName> active;
    for (const auto &[dataCentre, evacuation] : m_evacuations) {
        if (evacuation.active()) {
            active.insert(dataCentre);
        }
    }
    return active;
}

void Evacuations::writeTo(v1::StateSnapshot &snapshot) const
{
    for (const auto &[dataCentre, evacuation] : m_evacuations) {
        *snapshot.add_evacuations() = evacuation;
    }
}

void Evacuations::readFrom(const v1::StateSnapshot &snapshot)
{
    m_evacuations.clear();
    for (const v1::Evacuation &evacuation : snapshot.evacuations()) {
        m_evacuations[DataCentreName{evacuation.data_centre()}] = evacuation;
    }
}

}
