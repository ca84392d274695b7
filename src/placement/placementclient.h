#pragma once

#include "placement/namedlimits.h"
#include "placement/placementtypes.h"
#include "placement/upstreamsignals.h"

#include "placement.pb.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cumindyke
{

/// A request that waits for a free slot at an upstream.
struct SlotRequest
{
    ServiceName service;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// 0: a plain request.
    std::uint32_t promptTokens = 0;
    /// An answer is on time until objectiveAt, and of use until the deadline.
    TimePoint objectiveAt;
    TimePoint deadline;
    /// 0 to 999, a hash of the request's id that selects the version while a rollout splits the traffic.
    std::uint32_t rolloutPermille = 0;
    std::set<InstanceName> tried;
    /// The organisation whose limit is charged, and the cost in tokens (or requests). Empty for further attempts and on routes that are open to
    /// all.
    OrganisationName organisation;
    std::uint64_t cost = 0;
    /// Longest pause between events, in milliseconds, with which the answer is on time; 0: no limit.
    std::uint32_t maxPauseMs = 0;
    /// Expected number of events in the answer; 0: unknown.
    std::uint32_t expectedEvents = 0;
    /// As in PlacementQuery.
    bool isOnTrial = false;
    std::optional<std::set<RegionName>> homeRegions;
    /// Hash of organisation, method, host, target and body; 0: not computed.
    std::uint64_t contentHash = 0;
};

/// Pace of an upstream's answer, as observed by the entry VM.
struct AnswerPace
{
    /// Mean milliseconds between the events of a stream, or until the end of a plain answer; 0: unknown.
    double meanMs = 0;
    /// Longest pause between two events in milliseconds; 0: unknown.
    std::uint32_t longestPauseMs = 0;
};

/// A granted slot: the request may be sent to this upstream now.
struct PlacementGranted
{
    PlacementId id;
    UpstreamInstance upstream;
    /// Inputs of the placement decision, for the log.
    std::string inputs;
    /// The server wants PlacementClient::recordEarlyPace() to be called.
    bool paceWanted = false;
};

/// A refusal: no slot became free in time, or the organisation's limit is reached.
struct PlacementRefused
{
    PlacementId id;
    Duration retryAfter;
    v1::PlacementRefusalReason reason = v1::PLACEMENT_NO_ROOM;
    std::string inputs;
    /// If over the limit: time during which no request of the organisation can be admitted.
    Duration timeUntilOpen{};
};

using PlacementAnswer = std::variant<PlacementGranted, PlacementRefused>;

/// The entry VM's side of placement: tracks its waiting and placed requests and chooses the placement server. Pure: time is an argument.
///
/// The VMs of a data centre that may act as placement server are ranked by a hash, so that all VMs choose the same one. A server that sends nothing
/// while requests wait is excluded for some seconds. The last candidate is this VM itself, so a VM that is partitioned from all others places its own
/// requests.
class PlacementClient
{
public:
    PlacementClient(VmName self, DataCentreName localDataCentre, std::uint64_t incarnation)
        : m_self(std::move(self))
        , m_localDataCentre(std::move(localDataCentre))
        , m_incarnation(incarnation)
    {
    }

    /// Sets the VMs that may act as placement server, of all data centres.
    void setCandidates(const v1::FleetTally &fleet);
    /// Returns the placement server to use now.
    const VmName &server(TimePoint now) const;
    /// Placement servers of each data centre, most preferred first.
    const std::map<DataCentreName, std::vector<VmName>> &rankedServers() const
    {
        return m_rankedServers;
    }

    PlacementId requestPlacement(SlotRequest request, TimePoint now);
    /// Records the time from sending the granted request to its first event.
    void recordFirstEvent(PlacementId id, Duration after);
    /// Records the mean milliseconds between the first events, if the grant asked for it.
    void recordEarlyPace(PlacementId id, double paceMs);
    /// Records the request limit that an upstream named in an answer; no value: it named none. Returns whether the limit has changed.
    bool recordRequestLimit(const InstanceName &upstream, std::optional<double> perSecond, TimePoint now)
    {
        return m_namedLimits.record(upstream, perSecond, now);
    }
    /// Records what upstreams told this VM.
    UpstreamSignals &signals()
    {
        return m_signals;
    }
    const UpstreamSignals &signals() const
    {
        return m_signals;
    }
    /// Stops tracking the request: its attempt ended, or it needs no slot any more.
    void ended(PlacementId id, v1::PlacementOutcome outcome, const AnswerPace &pace);

    /// Returns the state to send to the server: all tracked requests, and the attempts that ended since the last call.
    v1::EntryState state(TimePoint now);
    /// Returns the state to send to a server that is no longer used.
    v1::EntryState buildDeparture();
    /// Returns the decisions in the reply. Replies of VMs other than the current server are ignored, so that the server's count of granted slots
    /// stays correct.
    std::vector<PlacementAnswer> handleReply(const VmName &from, const v1::PlacementReply &reply, TimePoint now);
    /// Excludes the current server if it timed out while requests wait; returns whether it did.
    bool replaceTimedOutServer(TimePoint now);
    std::size_t waitingCount() const
    {
        return m_waitingCount;
    }
    /// Whether anything is waiting, placed or still to be reported.
    bool isBusy() const
    {
        return !m_requests.empty() || !m_endedRequests.empty();
    }

private:
    struct TrackedRequest
    {
        SlotRequest request;
        bool placed = false;
        InstanceName upstream;
        std::uint32_t firstEventMs = 0;
        double earlyPaceMs = 0;
        /// Sequence number of the first state that contained the request in its present form; 0: none yet.
        std::uint64_t firstSentInState = 0;
    };

    std::optional<PlacementGranted> handleGrant(const VmName &from, const v1::PlacementGrant &grant);
    void writeRequest(PlacementId id, const TrackedRequest &tracked, v1::EntryState &state, TimePoint now) const;
    void resetConfirmed();
    bool anyWaiting() const
    {
        return m_waitingCount > 0;
    }

    const VmName m_self;
    const DataCentreName m_localDataCentre;
    const std::uint64_t m_incarnation;
    std::map<DataCentreName, std::vector<VmName>> m_rankedServers;
    std::map<VmName, TimePoint> m_excludedUntil;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastStateSequence = 0;
    std::map<PlacementId, TrackedRequest> m_requests;
    std::size_t m_waitingCount = 0;
    std::vector<v1::EndedRequest> m_endedRequests;
    NamedLimits m_namedLimits;
    UpstreamSignals m_signals;
    /// The server that confirmed states of this VM, and the newest state it confirmed.
    VmName m_confirmingServer;
    std::uint64_t m_confirmedSequence = 0;
    /// When the server's last reply was received, or when the first request began to wait.
    TimePoint m_lastReceivedAt{};
};

}
