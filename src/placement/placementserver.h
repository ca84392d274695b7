#pragma once

#include "placement/drainrate.h"
#include "placement/fleetlimits.h"
#include "placement/organisationshares.h"
#include "placement/peerwaiting.h"
#include "placement/requestqueue.h"
#include "placement/returnschedule.h"
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

/// Decides for the entry VMs of one data centre which request is sent to which upstream, and when. Pure: time is an argument.
///
/// Guards against entry VMs that choose independently by loads some milliseconds old: they pick the same upstream, and several of them use a slot
/// that became free. With 58 VMs in a burst, engines refused a sixth of their requests for lack of slots, and more than a third of the answers were
/// late. A single server that knows the loads avoids this, since an attempt begins only with its grant.
///
/// All state is soft: entry VMs send their whole state with each datagram, so another VM takes over as soon as it receives them, without an election.
/// Two servers at a time cost precision but never cause a second attempt: the entry VM's own record (Attempts) rules that out.
class PlacementServer
{
public:
    /// An upstream that gets no request for a while, since requests or connections to it failed.
    struct Ejection
    {
        InstanceName upstream;
        /// The VM that reported the last failure, and which it was.
        VmName reportedBy;
        v1::PlacementOutcome outcome = v1::PLACEMENT_FAILED;
    };
    /// The organisation whose requests wait for those of others, since it has used more of its share than they have.
    struct HeldBackOrganisation
    {
        ServiceName service;
        std::string organisation;
        /// Its part, 0 to 1, of the service's slot time that was granted lately over all data centres.
        double partOfWork = 0;
        /// Its waiting requests, and the organisations with waiting requests.
        std::size_t waiting = 0;
        std::size_t organisations = 0;
    };
    using Reply = std::pair<VmName, v1::PlacementReply>;

    /// "limitTolerance": tokens (or requests) that may be admitted beyond each limit; the setting limit_slack.
    PlacementServer(UpstreamPoolOptions pool, std::uint64_t limitTolerance, PlacementFeatures features = {})
        : m_features(features)
        , m_localDataCentre(pool.localDataCentre)
        , m_pool(withFeatures(std::move(pool), features))
        , m_limits(limitTolerance, features.rankedLimits)
    {
    }

    /// Replaces the list of upstreams.
    void setList(const std::vector<UpstreamInstance> &instances, TimePoint now);
    /// Replaces the upstreams of one data centre.
    void setListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now);
    /// Sets whether the last read of the platform's list succeeded.
    void setListReadable(bool readable)
    {
        m_pool.setListReadable(readable);
    }
    /// Whether the local upstreams do not suffice and the other data centres' parts of the list should be read.
    bool wantsRemote(TimePoint now) const;
    /// Sets the rollouts in force, by service.
    void setRollouts(const std::map<std::string, v1::Rollout> &rollouts)
    {
        m_rollouts = rollouts;
    }
    /// Sets the organisations' limits, and the rates that the services' upstreams bear while cold.
    void setRoutes(const v1::RouteTable &routes, TimePoint now);
    /// Sets the data centres whose upstreams get no new requests.
    void setEvacuated(const std::set<DataCentreName> &evacuated)
    {
        m_isEvacuated = evacuated.contains(m_localDataCentre);
        m_pool.setEvacuated(evacuated);
        m_peerWaiting.setEvacuated(evacuated);
    }
    /// Sets the entry VMs.
    void setFleet(const v1::FleetTally &fleet);
    /// Applies the load notice of another placement server.
    void handleNotice(const VmName &from, const v1::LoadNotice &notice, TimePoint now);
    /// Applies the state of an entry VM: all its waiting and placed requests. States that arrive out of order are ignored.
    void handleState(const VmName &from, const v1::EntryState &state, TimePoint now);
    /// Grants the free slots, refuses requests that expired in the queue, and returns the replies that are due.
    std::vector<Reply> advance(TimePoint now);
    /// Releases the requests of entry VMs, and the loads of peers, that timed out.
    void expireTimedOut(TimePoint now);

    /// Returns the ejections that began since the last call.
    std::vector<Ejection> takeEjections()
    {
        return std::exchange(m_ejections, {});
    }
    /// Returns the slots that were left to other data centres since the last call.
    PeerWaiting::Report takeLeftSlots()
    {
        return m_peerWaiting.takeReport();
    }
    /// Returns the ends of planned returns, and the refusals at arrival, since the last call.
    ReturnCounts takeReturnCounts();
    /// Returns the organisations that are held back by their shares, at most one a service and second.
    std::vector<HeldBackOrganisation> takeHeldBack()
    {
        return std::exchange(m_heldBack, {});
    }
    /// Other servers that currently place requests.
    std::vector<VmName> activePeers(TimePoint now) const;
    /// Whether any entry VM has requests here.
    bool hasRequests() const;
    /// Number of requests that wait for a free slot.
    std::size_t waitingCount() const;
    /// Writes the load of what was granted here; for a VM that may have to take over also the measured paces and the bucket levels.
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
        Granted, ///< the grant is not acknowledged by the entry VM yet
        Refused, ///< the refusal is not acknowledged by the entry VM yet
        Sent,
    };
    struct TrackedRequest
    {
        Stage stage = Stage::Waiting;
        ServiceName service;
        PriorityRank rank;
        std::uint32_t promptTokens = 0;
        std::uint32_t rolloutPermille = 0;
        std::string organisation;
        std::uint64_t cost = 0;
        double maxPauseMs = 0;
        std::uint32_t expectedEvents = 0;
        bool isOnTrial = false;
        /// Slot time charged to the organisation's share, and when; 0: none, or it is known that the request ran.
        double chargedMs = 0;
        TimePoint chargedAt{};
        /// As in PlacementQuery.
        std::optional<std::set<RegionName>> homeRegions;
        TimePoint deadline;
        std::set<InstanceName> tried;
        TimePoint objectiveAt;
        /// The last time at which a start gives an answer on time.
        TimePoint latestStart;
        /// When its waiting time ends.
        TimePoint queueExpiresAt;
        TimePoint enqueuedAt{};
        /// For how long it was passed over although upstreams of other data centres had free slots, and when it was last.
        Duration passedOverFor{};
        TimePoint passedOverAt{};
        /// Hash of its content, by which it is known when it returns; 0: unknown.
        std::uint64_t contentHash = 0;
        ReturnSchedule::Arrival arrival;
        InstanceName upstream;
        /// Tokens that the upstream had to process up to the end of this prompt when the slot was granted.
        std::uint64_t tokensToRead = 0;
        bool prefillDone = false;
        /// The decision, and when it was last sent.
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
        /// Until when upstreams want no request from this VM.
        std::map<UpstreamProcess, TimePoint> pauses;
        /// The reply that is being built.
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
        /// The first and the last refusal for lack of a free slot in the current overload.
        TimePoint overloadSince{};
        TimePoint lastRefusalAt{};
        /// Of PlacementFeatures::plannedReturns.
        DrainRate drainRate;
        ReturnSchedule returns;
        /// Requests that arrived since the last pass.
        std::vector<RequestKey> arrivals;
        TimePoint heldBackReportedAt{};
    };

    static UpstreamPoolOptions withFeatures(UpstreamPoolOptions pool, const PlacementFeatures &features)
    {
        pool.countsUnlisted = features.sharedWaiting;
        return pool;
    }
    void handleDeparture(const VmName &from, const v1::EntryState &state);
    void handlePlacementRequest(const VmName &from, EntryVm &entryVm, const v1::PlacementAsk &ask, TimePoint now);
    Duration likelyAnswerTime(const TrackedRequest &request) const;
    TrackedRequest makeRequest(const v1::PlacementAsk &ask, TimePoint now) const;
    void resendDecision(EntryVm &entryVm, PlacementId id, TimePoint now);
    void handlePlaced(const VmName &from, EntryVm &entryVm, const v1::PlacedRequest &placed, TimePoint now);
    void handleEnded(const VmName &from, EntryVm &entryVm, const v1::EndedRequest &ended, TimePoint now);
    void acquireSlot(const TrackedRequest &request, TimePoint now);
    void release(const VmName &from, PlacementId id, const TrackedRequest &request);
    void releaseAll(const VmName &from, const EntryVm &entryVm);
    void enqueue(const RequestKey &key, const TrackedRequest &request);
    void rescaleShares(TimePoint now);
    void refreshUsages();
    void refreshUsage(const ServiceName &service, const std::string &organisation);
    void chargeShare(TrackedRequest &request, TimePoint now);
    void refundShare(const TrackedRequest &request);
    void reportHeldBack(const ServiceName &name, Service &service, TimePoint now);
    bool isListUsable(TimePoint now) const;
    void grantQueued(const ServiceName &name, Service &service, TimePoint now);
    std::uint32_t restrictToUnleft(PlacementQuery &query, const Urgency &urgency, const UpstreamPool::FreeSlots &free, TimePoint now) const;
    void writeWaiting(v1::LoadNotice &notice, TimePoint now);
    bool isPlannable(const TrackedRequest &request) const;
    void recordArrival(const RequestKey &key, TrackedRequest &request, TimePoint now);
    void refuseExpired(Service &service, TimePoint now);
    void refuseArrivals(const ServiceName &name, Service &service, TimePoint now);
    void refuseLowerRanks(const ServiceName &name, Service &service, PriorityRank rank, TimePoint now);
    void refuseForLackOfSlot(Service &service, const RequestKey &key, TimePoint now);
    Duration planReturn(Service &service, TrackedRequest &request, Duration overloadTime, TimePoint now);
    void refuse(EntryVm &entryVm, PlacementId id, TrackedRequest &request, v1::PlacementRefusalReason reason, Duration retryAfter, TimePoint now);
    void updateCoverage(TimePoint now);
    void handleSignal(EntryVm &entryVm, const v1::UpstreamSignal &signal, TimePoint now);
    static PlacementQuery queryFor(const EntryVm &entryVm, const TrackedRequest &request, TimePoint now);
    Placement place(PlacementQuery query, const TrackedRequest &request, TimePoint now) const;
    void grant(const RequestKey &key, TrackedRequest &request, const Placement &placement, TimePoint now);
    static Duration retryAfterOverload(Service &service, TimePoint now);

    const PlacementFeatures m_features;
    const DataCentreName m_localDataCentre;
    UpstreamPool m_pool;
    FleetLimits m_limits;
    /// Empty without PlacementFeatures::fairShares.
    OrganisationShares m_shares;
    PeerWaiting m_peerWaiting;
    std::size_t m_entryVmCount = 1;
    /// Of this data centre; at most as many as the fleet's tally names.
    std::size_t m_localEntryVmCount = 1;
    std::map<VmName, Peer> m_peers;
    TimePoint m_localListReadAt{};
    /// The upstreams of this data centre get no new requests.
    bool m_isEvacuated = false;
    TimePoint m_remoteWantedUntil{};
    std::map<std::string, v1::Rollout> m_rollouts;
    std::map<VmName, EntryVm> m_entryVms;
    std::map<ServiceName, Service> m_services;
    std::vector<Ejection> m_ejections;
    std::uint64_t m_arrivalRefusals = 0;
    std::vector<HeldBackOrganisation> m_heldBack;
};

}
