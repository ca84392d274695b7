#pragma once

#include "raft/types.h"

#include <optional>

namespace cumindyke::raft
{

/// Decides when a VM with a disk offers itself as a replica: it has had no contact with a leader, since it is then not a member. Pure: time is an
/// argument.
class StandbyOffers
{
public:
    StandbyOffers(VmName vm, std::uint64_t incarnation, Duration electionTimeout, TimePoint now)
        : m_vm(std::move(vm))
        , m_incarnation(incarnation)
        , m_electionTimeout(electionTimeout)
        , m_lastLeaderSeenAt(now)
    {
    }

    /// Returns the offer that is due to the VM that is assumed to lead, if any. The leader accepts it when a voter has timed out.
    std::optional<v1::RaftMessage> due(bool followsLeader, const VmName &presumedLeader, TimePoint now)
    {
        if (followsLeader) {
            m_lastLeaderSeenAt = now;
        }
        if (now - m_lastLeaderSeenAt < 2 * m_electionTimeout || now < m_nextAt) {
            return {};
        }
        m_nextAt = now + Interval;
        if (presumedLeader == m_vm) {
            return {};
        }
        v1::RaftMessage offer;
        offer.set_kind(v1::RaftMessage::STANDBY);
        offer.set_from(m_vm.value);
        offer.set_to(presumedLeader.value);
        offer.set_incarnation(m_incarnation);
        return offer;
    }

private:
    static constexpr Duration Interval = std::chrono::seconds(2);

    const VmName m_vm;
    const std::uint64_t m_incarnation;
    const Duration m_electionTimeout;
    TimePoint m_lastLeaderSeenAt;
    TimePoint m_nextAt = TimePoint::min();
};

}
