#pragma once

#include "placement/fleetlimits.h"
#include "placement/requestqueue.h"
#include "placement/upstreampool.h"

#include "placement.pb.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cumindyke
{

/// Decides for the entry VMs of one data centre which request goes to which upstream, and when. Pure: time is an argument.
///
/// Failure guarded against: entry VMs that each choose by loads some milliseconds old pick the same upstream, and a place that becomes free
/// is taken by several at once. The symptom with 58 VMs in a burst was that engines refused a sixth of their requests for want of places, and more than a
/// third of the answers came late. One place where the loads meet is enough, since a sending begins only by its grant.
///
/// All state is soft: entry VMs tell theirs whole with each datagram, so another VM takes over by being asked, without an election. Two
/// servers at a time cost precision, never a second sending: that is the entry VM's own record (Attempts).
class PlacementServer
{
public:
    using Reply = std::pair<VmName, v1::PlacementReply>;

    /// "limitTolerance": tokens (or requests) that may be admitted beyond each limit; the setting limit_slack.
    PlacementServer(DataCentreName localDataCentre, std::uint64_t limitTolerance)
        : m_localDataCentre(localDataCentre)
        , m_pool(std::move(localDataCentre))
        , m_limits(limitTolerance)
    {
    }

    /// The platform's whole list of upstreams.
    void setList(const std::vector<UpstreamInstance> &instances, TimePoint now);
    /// The list's part of one data centre.
    void setListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now);
    /// Whether the list could be read the last time it was tried.
    void setListReadable(bool readable)
    {
        m_pool.setListReadable(readable);
    }
    /// The own data centre's upstreams are not enough: the others' parts of the list are to be read.
    bool wantsRemote(TimePoint now) const;
    /// Rollouts in force, by service.
    void setRollouts(const std::map<std::string, v1::Rollout> &rollouts)
    {
        m_rollouts = rollouts;
    }
    /// The organisations' limits.
    void setRoutes(const v1::RouteTable &routes, TimePoint now)
    {
        m_limits.setRoutes(routes, now);
    }
    /// How many entry VMs there are.
    void setFleet(const v1::FleetTally &fleet)
    {
        m_entryVmCount = std::max<std::uint32_t>(1, fleet.entry_vm_count());
    }
    /// What another data centre's server has given out.
    void handleNotice(const VmName &from, const v1::LoadNotice &notice, TimePoint now);
    /// All that an entry VM has waiting and under way. Older than what came before: ignored.
    void handleState(const VmName &from, const v1::EntryState &state, TimePoint now);
    /// Gives out what there is room for, refuses what has waited too long, and returns the replies that are due.
    std::vector<Reply> advance(TimePoint now);
    /// Entry VMs that have fallen silent have nothing under way any more, or nobody knows what.
    void expireTimedOut(TimePoint now);

    /// Other servers that place requests at present.
    std::vector<VmName> activePeers(TimePoint now) const;
    /// Some entry VM has something here.
    bool hasRequests() const;
    /// How many wait for room.
    std::size_t waitingCount() const;
    /// What was given out here; for a VM that may have to take over, with what was learned.
    void writeNotice(v1::LoadNotice &notice, bool forBackup, TimePoint now);

private:
    struct RequestKey
    {
        VmName vm;
        PlacementId id;

        auto operator<=>(const RequestKey &) const = default;
    };
    enum class Stage {
        Waiting,
        Granted, ///< the entry VM has not yet said that it knows
        Refused, ///< the same
        Sent,
    };
    struct TrackedRequest
    {
        Stage stage = Stage::Waiting;
        ServiceName service;
        std::uint32_t promptTokens = 0;
        std::uint32_t rolloutPermille = 0;
        std::string organisation;
        std::uint64_t cost = 0;
        double maxPauseMs = 0;
        std::uint32_t expectedEvents = 0;
        TimePoint deadline;
        std::set<InstanceName> tried;
        TimePoint objectiveAt;
        /// Until when a start is early enough for an answer on time.
        TimePoint latestStart;
        /// When its waiting ends.
        TimePoint queueExpiresAt;
        InstanceName upstream;
        /// Up to this prompt's end, when it was granted.
        std::uint64_t tokensToRead = 0;
        bool prefillDone = false;
        /// The answer to the ask, and when it was sent last.
        v1::PlacementGrant grant;
        v1::PlacementRefusal refusal;
        TimePoint decisionSentAt;
    };
    struct EntryVm
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastReceivedAt;
        TimePoint lastReplyAt;
        std::map<PlacementId, TrackedRequest> requests;
        /// What goes with the next reply.
        v1::PlacementReply nextReply;
    };
    /// Another placement server.
    struct Peer
    {
        TimePoint lastReceivedAt;
        std::uint32_t entryVmCount = 0;
    };
    struct Service
    {
        RequestQueue<RequestKey> queue;
        /// The first and the last refusal for want of room in the present overload.
        TimePoint overloadSince{};
        TimePoint lastRefusalAt{};
    };

    void handleDeparture(const VmName &from, const v1::EntryState &state);
    void handleAsk(const VmName &from, EntryVm &entryVm, const v1::PlacementAsk &ask, TimePoint now);
    TrackedRequest makeRequest(const v1::PlacementAsk &ask, TimePoint now) const;
    void resendDecision(EntryVm &entryVm, PlacementId id, TimePoint now);
    void handlePlaced(const VmName &from, EntryVm &entryVm, const v1::PlacedRequest &placed);
    void handleEnded(const v1::EndedRequest &ended, TimePoint now);
    void release(const VmName &from, PlacementId id, const TrackedRequest &request);
    void releaseAll(const VmName &from, const EntryVm &entryVm);
    bool isListUsable(TimePoint now) const;
    void grantQueued(const ServiceName &name, Service &service, TimePoint now);
    void refuseExpired(Service &service, TimePoint now);
    void refuse(EntryVm &entryVm, PlacementId id, TrackedRequest &request, v1::PlacementRefusalReason reason, Duration retryAfter, TimePoint now);
    void updateCoverage(TimePoint now);
    Placement place(const TrackedRequest &request, TimePoint now) const;
    void grant(const RequestKey &key, TrackedRequest &request, const Placement &placement, TimePoint now);
    Duration retryAfterOverload(Service &service, TimePoint now);

    const DataCentreName m_localDataCentre;
    UpstreamPool m_pool;
    FleetLimits m_limits;
    std::size_t m_entryVmCount = 1;
    std::map<VmName, Peer> m_peers;
    TimePoint m_localListReadAt{};
    TimePoint m_remoteWantedUntil{};
    std::map<std::string, v1::Rollout> m_rollouts;
    std::map<VmName, EntryVm> m_entryVms;
    std::map<ServiceName, Service> m_services;
};

}
