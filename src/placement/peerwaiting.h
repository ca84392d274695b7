#pragma once

#include "placement/requestqueue.h"

#include "routing.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cumindyke
{

/// How urgent a waiting request is compared to those that wait in other data centres.
struct Urgency
{
    PriorityRank rank;
    /// The last time at which a start gives an answer on time; TimePoint::max() if it has passed, since such a request follows all others of its rank.
    TimePoint latestStart;

    auto operator<=>(const Urgency &) const = default;
};

/// Decides how many free slots of this data centre are left to the placement servers of others, because more urgent requests wait there. Pure: time is an
/// argument.
///
/// Guards against a request of a high rank that is refused in a data centre with many callers while one of a low rank gets a slot in another, and against
/// queues of unequal length: each server would give its free slots to its own requests, whatever waits elsewhere.
///
/// All state is soft. What is left to a server that does not use it is bounded: see MaxUnusedTime.
class PeerWaiting
{
public:
    /// Requests of one service and rank that wait at one server.
    struct Waiting
    {
        Urgency mostUrgent;
        std::uint32_t count = 0;
    };
    /// Slots that are being left to another server.
    struct LeftSlots
    {
        VmName to;
        ServiceName service;
        /// Of the most urgent request there.
        PriorityRank rank;
        std::uint32_t count = 0;
    };
    /// What happened since the last call of takeReport().
    struct Report
    {
        /// At most one a second for each server.
        std::vector<LeftSlots> left;
        /// Slots that were left and then used by the other server, or not.
        std::uint64_t used = 0;
        std::uint64_t unused = 0;
    };

    /// Sets the data centres of the placement servers.
    void setDataCentres(std::map<VmName, DataCentreName> dataCentres)
    {
        m_dataCentres = std::move(dataCentres);
    }
    /// Sets the data centres to which nothing is left.
    void setEvacuated(std::set<DataCentreName> evacuated)
    {
        m_evacuated = std::move(evacuated);
    }
    /// Applies what waits at another server, and the requests that it has placed at upstreams of this data centre since its last notice, by service.
    /// Entries out of range are ignored.
    void handleNotice(const VmName &from, const v1::LoadNotice &notice, const std::map<ServiceName, std::uint64_t> &placedHere, TimePoint now);
    /// Writes what waits here for a service, most urgent first, into the notice that is sent now.
    void writeNotice(const ServiceName &service, const std::vector<Waiting> &waiting, v1::LoadNotice &notice, TimePoint now);

    /// Whether other servers have reported lately that requests for the service wait.
    bool anyWaiting(const ServiceName &service, TimePoint now) const;
    enum class SlotLocation {
        Local, ///< in this data centre
        Remote,
    };
    /// Number of free slots to leave to other servers rather than to a request of this urgency.
    std::uint32_t slotsToLeave(const ServiceName &service, const Urgency &request, SlotLocation location, TimePoint now) const;
    /// Records that "free" local slots were left rather than given to a request of this urgency.
    void recordLeft(const ServiceName &service, const Urgency &request, std::uint32_t free, TimePoint now);
    /// Ends the accounts of slots that are no longer left.
    void expire(TimePoint now);

    Report takeReport()
    {
        return std::exchange(m_report, {});
    }

private:
    /// What one server has made of the slots of one service that were left to it.
    struct Use
    {
        /// Slots left to it that it has not used yet.
        std::uint32_t left = 0;
        TimePoint lastLeftAt{};
        /// For how long slots were left since it last used one.
        Duration unusedFor{};
        /// Nothing is left to it until then.
        TimePoint closedUntil{};
        Duration nextClosedFor{};
    };
    struct Peer
    {
        TimePoint lastReceivedAt{};
        std::map<ServiceName, std::vector<Waiting>> waiting;
        std::map<ServiceName, Use> uses;
        TimePoint lastLoggedAt{};
    };
    struct Reported
    {
        TimePoint sentAt;
        Urgency mostUrgent;
    };
    /// More urgent requests at a peer.
    struct Claim
    {
        Urgency mostUrgent;
        const VmName *vm = nullptr;
        std::uint32_t count = 0;
    };

    std::vector<Claim> claimsBefore(const ServiceName &service, const Urgency &request, SlotLocation location, TimePoint now) const;
    bool isOpen(const VmName &vm, const Peer &peer, const ServiceName &service, TimePoint now) const;
    bool mayBeLeftTo(const ServiceName &service, const Urgency &peer, TimePoint now) const;

    std::map<VmName, DataCentreName> m_dataCentres;
    std::set<DataCentreName> m_evacuated;
    std::map<VmName, Peer> m_peers;
    /// The most urgent requests in the notices that other servers may still act on.
    std::map<ServiceName, std::deque<Reported>> m_reported;
    Report m_report;
};

}
