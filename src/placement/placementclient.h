#pragma once

#include "placement/placementtypes.h"

#include "placement.pb.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cumindyke
{

/// A request that waits for room at an upstream.
struct SlotRequest
{
    ServiceName service;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// 0: a plain request.
    std::uint32_t promptTokens = 0;
    /// Until when an answer is on time, and of any use.
    TimePoint objectiveAt;
    TimePoint deadline;
    /// 0 to 999, from the request's id: which part of a rollout's split it belongs to.
    std::uint32_t rolloutPermille = 0;
    std::set<InstanceName> tried;
    /// Whose limit it is charged to, and how many tokens (or requests); empty for a further try, and on a route that is open to all.
    OrganisationName organisation;
    std::uint64_t cost = 0;
    /// Milliseconds between events, for an answer on time; 0: none is set.
    std::uint32_t maxPauseMs = 0;
    /// Events that the answer is likely to have; 0: not known.
    std::uint32_t expectedEvents = 0;
};

/// How an upstream worked on a request, as far as its answer showed it.
struct AnswerPace
{
    /// Milliseconds between events of a stream, or to a plain answer's end; 0: unknown.
    double meanMs = 0;
    /// Milliseconds of the longest pause between two events; 0: unknown.
    std::uint32_t longestPauseMs = 0;
};

/// The request may be sent to this upstream, now.
struct PlacementGranted
{
    PlacementId id;
    UpstreamInstance upstream;
    /// What the choice was made from, for the log.
    std::string inputs;
    /// See PlacementClient::recordEarlyPace.
    bool paceWanted = false;
};

/// There was no room in time, or the organisation's limit is reached.
struct PlacementRefused
{
    PlacementId id;
    Duration retryAfter;
    bool overLimit = false;
    std::string inputs;
    /// Over the limit: nothing of the organisation can pass for so long.
    Duration timeUntilOpen{};
};

using PlacementAnswer = std::variant<PlacementGranted, PlacementRefused>;

/// An entry VM's side of placement: what it has waiting and under way, and whom it asks. Pure: time is an argument.
///
/// The VMs of a data centre that may be asked are ranked by a hash, so that all VMs ask the same one. One that is silent while something
/// waits is passed over for some seconds; the last to ask is this VM itself, so a VM that is cut off from all others goes on by itself.
class PlacementClient
{
public:
    PlacementClient(VmName self, DataCentreName localDataCentre, std::uint64_t incarnation)
        : m_self(std::move(self))
        , m_localDataCentre(std::move(localDataCentre))
        , m_incarnation(incarnation)
    {
    }

    /// The VMs that may place requests, of all data centres.
    void setCandidates(const v1::FleetTally &fleet);
    /// Whom to ask now.
    const VmName &server(TimePoint now) const;
    /// The VMs of each data centre, whom to ask first first.
    const std::map<DataCentreName, std::vector<VmName>> &rankedServers() const
    {
        return m_rankedServers;
    }

    PlacementId requestPlacement(SlotRequest request, TimePoint now);
    /// It was granted, and its first event came so long after the sending.
    void recordFirstEvent(PlacementId id, Duration after);
    /// Milliseconds between its first events, where the grant asked for that.
    void recordEarlyPace(PlacementId id, double paceMs);
    /// The sending ended, or the request needs none any more.
    void ended(PlacementId id, v1::PlacementOutcome outcome, const AnswerPace &pace);

    /// Everything, for the server; the ends since the last call.
    v1::EntryState state(TimePoint now);
    /// For a server that is asked no more.
    v1::EntryState buildDeparture();
    /// Answers of the VM that is asked now; others are ignored, so that its count of what it gave out stays right.
    std::vector<PlacementAnswer> handleReply(const VmName &from, const v1::PlacementReply &reply, TimePoint now);
    /// True when the server has been silent for too long and another one is to be asked.
    bool replaceTimedOutServer(TimePoint now);
    std::size_t waitingCount() const
    {
        return m_waitingCount;
    }
    /// Something is waiting or under way.
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
        /// The first state that told it as it is; 0: none yet.
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
    /// The server, and the newest state that it has seen.
    VmName m_confirmingServer;
    std::uint64_t m_confirmedSequence = 0;
    /// The server's last reply, or when there was first something to reply to.
    TimePoint m_lastReceivedAt{};
};

}
