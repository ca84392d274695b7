#pragma once

#include "placement/firsteventmodel.h"
#include "placement/pauseratioestimator.h"
#include "placement/placementtypes.h"
#include "placement/requestrates.h"
#include "placement/upstreamsignals.h"

#include "control.pb.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cumindyke
{

/// Selects the version of the next request's upstream during a rollout.
struct VersionSplit
{
    /// The version that the rollout moves to; empty: all versions are equal.
    VersionName target;
    /// Whether the next request is for the target, or for any other version.
    bool toTarget = false;
};

struct PlacementQuery
{
    ServiceName service;
    VersionSplit versions;
    /// Prompt tokens; 0: a plain request.
    std::uint32_t promptTokens = 0;
    /// Upstreams of earlier attempts of this request.
    std::set<InstanceName> tried;
    /// Longest pause between events, in milliseconds, with which the answer is on time; 0: no limit.
    double maxPauseMs = 0;
    /// Expected number of events in the answer; 0: unknown.
    std::uint32_t expectedEvents = 0;
    /// Time until the deadline; zero: no deadline.
    Duration timeToDeadline{};
    /// As in PendingRequest.
    bool isOnTrial = false;
    /// The regions whose upstreams may run the request; none: all.
    std::optional<std::set<RegionName>> homeRegions;
    /// Until when upstreams want no request from the entry VM; null: none.
    const std::map<UpstreamProcess, TimePoint> *pauses = nullptr;
    /// Not at a local upstream that other data centres use too, or not at a remote one: its free slots are left to more urgent requests elsewhere.
    bool isLocalLeft = false;
    bool isRemoteLeft = false;
};

/// The chosen upstream, and the predicted time until its answer (a stream's first event).
struct Placement
{
    const UpstreamInstance *upstream = nullptr;
    Duration predictedTime{};
    /// A remote upstream was chosen, or might answer sooner or have a free slot when no local one has.
    bool remoteMayHelp = false;
};

/// Where upstreams are, and what they bear while cold.
struct UpstreamPoolOptions
{
    DataCentreName localDataCentre;
    /// An upstream of a data centre that is not listed here is in no request's home regions.
    std::map<DataCentreName, RegionName> regions = {};
    /// Requests in any second at a cold upstream: its service's rate times the factor, plus the extra ones.
    double coldRateFactor = 1;
    double coldRateExtra = 0;
    /// Counts requests at upstreams that are not listed yet, from when they are. Otherwise a server that takes over while it has read only its own data
    /// centre's list counts the requests at remote upstreams too low for as long as any are in flight there.
    bool countsUnlisted = false;
};

/// The known upstreams with their loads, paces and recent failures. Chooses the upstream of the next request. Pure: time is an argument.
///
/// Loads are the requests granted here, and those granted by other data centres' servers according to their load notices.
class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamPoolOptions options)
        : m_options(std::move(options))
    {
    }

    /// Replaces the list of upstreams. An entry whose name was used by an earlier process starts without statistics.
    void setList(const std::vector<UpstreamInstance> &instances, TimePoint now = {});
    /// Replaces the upstreams of one data centre. From then on, remote upstreams are used only while their part of the list is fresh: an outdated
    /// part contains upstreams that have shut down since.
    void setListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now);
    /// Sets whether the list can be read. While it can't, an outdated list is better than none.
    void setListReadable(bool readable)
    {
        m_listReadable = readable;
    }
    bool isListReadable() const
    {
        return m_listReadable;
    }
    /// Sets the rates that the services' upstreams bear while cold.
    void setRoutes(const v1::RouteTable &routes);
    /// Sets the data centres whose upstreams get no new requests.
    void setEvacuated(const std::set<DataCentreName> &evacuated)
    {
        m_evacuated = evacuated;
    }
    /// Applies another placement server's load notice. Returns, by service, how many requests the server has placed at local upstreams since its last notice;
    /// none if the notice is ignored, since it arrived out of order.
    std::optional<std::map<ServiceName, std::uint64_t>> handleNotice(const VmName &vm, const v1::LoadNotice &notice, TimePoint now);
    /// Drops the loads of servers that timed out, since their requests have ended or nobody counts them.
    void expireTimedOut(TimePoint now);

    /// Returns the upstream that is predicted to answer first; none if all are full or not usable.
    Placement choose(const PlacementQuery &query, TimePoint now) const;
    /// Records the request limit that an upstream named in an answer; see RequestRates.
    void recordRequestLimit(const InstanceName &name, std::optional<double> perSecond, TimePoint answeredAt, TimePoint now)
    {
        m_requestRates.record(name, perSecond, answeredAt, now);
    }
    /// Sets the share of the data centre's entry VMs, 0 to 1, whose requests are placed here: its part of the upstreams' request limits.
    void setRequestShare(double share)
    {
        m_requestShare = std::clamp(share, 0.0, 1.0);
    }
    /// Why the service has no upstream at all for a request.
    enum class Obstacle {
        None, ///< it has one, which may be full or failing
        Evacuated, ///< all of its upstreams are in evacuated data centres
        NotAtHome, ///< none is in the request's home regions, or those are evacuated
    };
    Obstacle obstacleFor(const PlacementQuery &query) const;
    /// Time until the first of the service's upstreams takes requests of the entry VM again; zero if one does now.
    Duration timeUntilUnpaused(const PlacementQuery &query, TimePoint now) const;
    /// Records that this server begins to place requests: it does not know what its predecessor granted last.
    void startServing(TimePoint now)
    {
        m_servingSince = now;
    }
    /// Whether any usable upstream of the service has a free slot.
    bool hasFreeSlot(const ServiceName &service, TimePoint now) const;
    /// Free slots of a service's usable upstreams.
    struct FreeSlots
    {
        /// Of local upstreams that only this data centre may use now.
        std::uint32_t unshared = 0;
        /// Of the other local upstreams.
        std::uint32_t shared = 0;
        std::uint32_t remote = 0;
    };
    FreeSlots freeSlots(const ServiceName &service, TimePoint now) const;
    /// Whether a request with these home regions may run in another data centre; none: all regions.
    bool mayRunRemotely(const std::optional<std::set<RegionName>> &homeRegions) const;
    /// Time to the answer (a stream's first event) that four of five requests of this size stayed below lately, wherever they ran; zero while too few
    /// are recorded.
    Duration likelyAnswerTime(const ServiceName &service, std::uint32_t promptTokens) const;
    /// Time to the first event on the fastest upstream when it is idle; zero while nothing is recorded.
    Duration idleFirstEventTime(const ServiceName &service, std::uint32_t promptTokens) const;

    /// Time for which a request is expected to occupy a slot: the first event and the other ones on an engine of mean speed, or a plain answer.
    Duration expectedSlotTime(const ServiceName &service, std::uint32_t promptTokens, std::uint32_t expectedEvents);

    void acquireSlot(const InstanceName &name, std::uint32_t promptTokens, TimePoint now = {});
    /// Records that the prompt has been processed: the first event arrived, or the attempt ended before it.
    void recordPrefillDone(const InstanceName &name, std::uint32_t promptTokens);
    void releaseSlot(const InstanceName &name);
    /// Records that a request under a trial was placed at the upstream, and that it has ended.
    void recordTrialStarted(const InstanceName &name)
    {
        ++m_trials[name];
    }
    void recordTrialEnded(const InstanceName &name);
    /// Records the pace of an upstream: milliseconds between the events of a stream, or until the end of a plain answer.
    void recordPace(const InstanceName &name, double milliseconds);
    /// Records the pace of a stream's first events, which is used while no other pace is known.
    void recordEarlyPace(const InstanceName &name, double milliseconds);
    bool knowsPace(const InstanceName &name) const;
    /// Records the mean and the longest pause between the events of a stream.
    void recordPauses(const InstanceName &name, double meanMs, double longestPauseMs);
    /// Records the time to a first event, and the tokens that had to be processed before it when the request was sent.
    void recordFirstEvent(const InstanceName &name, double tokens, double milliseconds);
    /// Records the time to an answer (a stream's first event), for likelyAnswerTime().
    void recordAnswerTime(const ServiceName &service, std::uint32_t promptTokens, double milliseconds);
    /// Prompt tokens that the upstream has to process before a new prompt.
    std::uint64_t pendingPromptTokens(const InstanceName &name) const;
    void recordSuccess(const InstanceName &name);
    /// Records a failed request or connection. The upstream is ejected after several failures in a row, longer with each further one. Returns whether this
    /// was the first failure in the row that ejected it.
    bool recordFailure(const InstanceName &name, TimePoint now);
    /// Records that an entry VM could not connect to the upstream. The upstream is ejected only after failures of several VMs without a success in between:
    /// a single VM may have lost its own path. Returns as recordFailure() does.
    bool recordUnreachable(const InstanceName &name, const VmName &vm, TimePoint now);
    /// Records that the upstream was full or draining and refused a request: it is ejected briefly, without counting a failure.
    void recordRefusal(const InstanceName &name, TimePoint now);
    /// Records that another process has the upstream's address.
    void recordMisdirection(const InstanceName &name, TimePoint now);

    /// Records that the process is leaving, whatever the list shows.
    void recordLeaving(const UpstreamProcess &process);
    /// Records that the process crashes if it has to refuse some requests in a second.
    void recordBrittle(const UpstreamProcess &process, TimePoint now);

    /// Known number of requests at the upstream.
    std::uint32_t inFlight(const InstanceName &name) const;
    /// Writes the loads granted here that changed since the last notice, and a rotating slice of the others. For a backup, which receives few
    /// notices, writes what changed since the last backup notice, and the measured paces. The notice's sequence number must be set.
    void writeNotice(v1::LoadNotice &notice, bool forBackup);

private:
    struct Load
    {
        std::uint32_t requests = 0;
        /// Tokens of prompts whose first event has not arrived.
        std::uint64_t tokens = 0;

        bool operator==(const Load &) const = default;
    };
    /// The load of an upstream that was last reported in a notice.
    struct ReportedLoad
    {
        Load load;
        /// A load of zero was reported once, and is repeated at the upstream's next turn.
        bool repeatZero = false;

        /// Returns whether the next notice must report the load; if so, the load counts as reported.
        bool markReportedIfDue(const Load &now, bool isTurn);
    };
    struct Upstream
    {
        UpstreamInstance instance;
        bool isRemote = false;
        /// When the upstream was last listed.
        TimePoint lastListedAt{};
        Load ownLoad;
        /// Sum of the loads granted by other servers, according to their last notices.
        Load peerLoad;
        ReportedLoad reported;
        ReportedLoad reportedToBackups;
        /// Hash of the name; selects the notices that repeat the load.
        std::uint64_t sliceHash = 0;
        /// Never null.
        std::shared_ptr<UpstreamRates> rates;
        /// Requests a second that it bears while cold; 0: any number.
        double coldRate = 0;
        double paceMs = 0;
        /// From then on the pace is too old to keep requests away; none: no request was granted here.
        std::optional<TimePoint> paceExpiresAt;
        /// Measured long ago: replaced by the next measurement.
        bool isOldPace = false;
        /// The process has started lately and may be slower than it will be.
        bool isCold = false;
        TimePoint coldUntil{};
        /// The pace before the upstream became cold; 0: unknown.
        double warmPaceMs = 0;
        /// Measured while cold: replaced by the next measurement.
        bool isColdPace = false;
        /// Requests granted here since the start of this process.
        std::uint64_t granted = 0;
        TimePoint lastGrantedAt{};
        int consecutiveFailures = 0;
        TimePoint ejectedUntil{};
        /// The VM that failed to connect last.
        VmName unreachableFrom;
        /// One of its answers said so (UpstreamSignal); the list shows it later.
        bool isLeaving = false;
        /// It has said lately that it crashes after some refusals.
        TimePoint brittleUntil{};
        /// Its last answer was a refusal.
        bool hasRefused = false;
    };

    struct ReceivedLoad
    {
        Load load;
        /// Sequence number of the last notice that contained the load.
        std::uint64_t sequence = 0;
        /// Requests granted by the peer since its start; none before the first notice.
        std::optional<std::uint64_t> granted = {};
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastReceivedAt;
        std::map<InstanceName, ReceivedLoad> loads;
    };

    /// Mean of the known paces of a service's upstreams, and its ratio to the fastest one.
    struct MeanPace
    {
        double milliseconds = 0;
        double slowness = 1;
    };

    void addInstances(std::map<InstanceName, Upstream> &next, const std::vector<UpstreamInstance> &instances, TimePoint now);
    void replaceUpstreams(std::map<InstanceName, Upstream> &&next);
    double coldRateOf(const ServiceName &service) const;
    void updateCold(Upstream &upstream, TimePoint now);
    bool isUsable(const Upstream &upstream, TimePoint now) const;
    bool isLimited(const Upstream &upstream, TimePoint now) const;
    bool isLeft(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const;
    bool isInRegions(const Upstream &upstream, const PlacementQuery &query) const;
    bool mayGrantWhileCold(const Upstream &upstream, TimePoint now) const;
    void addLoads(const Peer &peer, int sign);
    void addLoad(const InstanceName &name, const Load &load, int sign);
    void expireUnreported(Peer &peer);
    bool isEligible(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const;
    bool isPaused(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const;
    const MeanPace &meanPace(const ServiceName &service);
    double fastestPace(const ServiceName &service) const;
    std::uint32_t usableSlots(const Upstream &upstream, TimePoint now) const;
    std::uint32_t freeSlots(const Upstream &upstream, TimePoint now) const;
    bool hasFreeSlot(const Upstream &upstream, TimePoint now) const;
    bool wouldExceedMaxPause(const Upstream &upstream, const PlacementQuery &query, double fastestPaceMs) const;
    bool wouldFinishInTime(const Upstream &upstream, const PlacementQuery &query, double firstEventMs, double fastestPaceMs) const;
    bool anyWouldFinishInTime(const PlacementQuery &query, double fastestPaceMs, TimePoint now) const;
    double predictedMs(const Upstream &upstream, double paceMs, std::uint32_t promptTokens, double fastestPaceMs) const;
    bool isPaceExpired(const Upstream &upstream, TimePoint now) const;
    const std::vector<const Upstream *> &upstreamsOf(const ServiceName &service) const;
    Upstream *find(const InstanceName &name);

    const UpstreamPoolOptions m_options;
    std::map<InstanceName, Upstream> m_upstreams;
    /// The upstreams of each service.
    std::map<ServiceName, std::vector<const Upstream *>> m_upstreamsByService;
    /// Requests under a trial that were placed here and have not ended; no entry for 0.
    std::map<InstanceName, std::uint32_t> m_trials;
    /// Requests granted here at upstreams that are not listed; no entry for none.
    std::map<InstanceName, Load> m_unlistedLoads;
    std::map<ServiceName, FirstEventModel> m_firstEventModels;
    std::map<ServiceName, PauseRatioEstimator> m_pauseRatios;
    /// Of plain services in milliseconds; of engines relative to idleFirstEventTime().
    std::map<ServiceName, QuantileEstimator> m_answerTimes;
    /// Dropped with each tick, and not computed for each request: there may be thousands of upstreams.
    std::map<ServiceName, MeanPace> m_meanPaces;
    RequestRates m_requestRates;
    double m_requestShare = 1;
    /// Requests a second that upstreams of these services bear while cold.
    std::map<ServiceName, double> m_coldRates;
    TimePoint m_servingSince{};
    std::set<DataCentreName> m_evacuated;
    std::map<VmName, Peer> m_peers;
    std::uint64_t m_backupNoticeCount = 0;
    bool m_listInParts = false;
    bool m_listReadable = true;
};

}
