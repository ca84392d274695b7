#pragma once

#include "placement/firsteventmodel.h"
#include "placement/pauseratioestimator.h"
#include "placement/placementtypes.h"

#include "control.pb.h"

#include <map>
#include <set>
#include <vector>

namespace cumindyke
{

/// Which part of a service's requests goes to which version.
struct VersionSplit
{
    /// The version a rollout moves to; empty: every version is as good as another.
    VersionName target;
    /// The next request is for the target. Otherwise it is for any other version.
    bool toTarget = false;
};

struct PlacementQuery
{
    ServiceName service;
    VersionSplit versions;
    /// Prompt tokens to read; 0: a plain request.
    std::uint32_t promptTokens = 0;
    /// Tried before for this request.
    std::set<InstanceName> tried;
    /// The longest pause between events with which an answer is still on time; 0: none is set.
    double maxPauseMs = 0;
    /// Events that the answer is likely to have; 0: not known.
    std::uint32_t expectedEvents = 0;
    /// How long until no answer is of use any more; zero: for ever.
    Duration timeToDeadline{};
};

/// Where a request would go, and how long its answer (a stream's first event) would take there.
struct Placement
{
    const UpstreamInstance *upstream = nullptr;
    Duration predictedTime{};
    /// One of another data centre was chosen, or might have been sooner or free where none here was.
    bool remoteMayHelp = false;
};

/// What is known of each upstream: the platform's list, the requests that were given out here, those of other data centres from their
/// servers' notices, how fast it answers, and whether it has just failed. Chooses where the next request goes. Pure: time is an argument.
class UpstreamPool
{
public:
    explicit UpstreamPool(DataCentreName localDataCentre)
        : m_localDataCentre(std::move(localDataCentre))
    {
    }

    /// The platform's whole list. An entry whose name was used by an earlier process starts with nothing learned.
    void setList(const std::vector<UpstreamInstance> &instances, TimePoint now = {});
    /// The list's part of one data centre. From then on, farther upstreams are used only while their parts are fresh: an old part has upstreams
    /// that have left since.
    void setListPart(const DataCentreName &dataCentre, const std::vector<UpstreamInstance> &instances, TimePoint now);
    /// While the list can't be read, an old one is better than none.
    void setListReadable(bool readable)
    {
        m_listReadable = readable;
    }
    bool isListReadable() const
    {
        return m_listReadable;
    }
    /// What another placement server has given out. Older than what came before: ignored.
    void handleNotice(const VmName &vm, const v1::LoadNotice &notice, TimePoint now);
    /// Servers that have fallen silent have nothing in flight any more, or nobody knows what.
    void expireTimedOut(TimePoint now);

    /// The upstream that will answer soonest; none when all of them are full or out of use.
    Placement choose(const PlacementQuery &query, TimePoint now) const;
    /// Some upstream of the service could take a request now.
    bool hasFreeSlot(const ServiceName &service, TimePoint now) const;
    /// How long the fastest upstream would take with nothing else to do; zero while nothing was learned.
    Duration idleFirstEventTime(const ServiceName &service, std::uint32_t promptTokens) const;

    void acquireSlot(const InstanceName &name, std::uint32_t promptTokens);
    /// The prompt has been read: the first event came, or the sending ended before it.
    void recordPrefillDone(const InstanceName &name, std::uint32_t promptTokens);
    void releaseSlot(const InstanceName &name);
    /// Milliseconds between events of a stream, or to a plain answer's end: how fast the upstream works.
    void recordPace(const InstanceName &name, double milliseconds);
    /// The pace of a stream's first events: counts while nothing else is known.
    void recordEarlyPace(const InstanceName &name, double milliseconds);
    bool knowsPace(const InstanceName &name) const;
    /// The mean and the longest pause between the events of a stream.
    void recordPauses(const InstanceName &name, double meanMs, double longestPauseMs);
    /// A first event, and the tokens that were to be read for it when the request was sent.
    void recordFirstEvent(const InstanceName &name, double tokens, double milliseconds);
    /// Tokens that an upstream has to read before a new prompt.
    std::uint64_t pendingPromptTokens(const InstanceName &name) const;
    void recordSuccess(const InstanceName &name);
    /// It failed a request or could not be reached: it rests, longer with each failure in a row.
    void recordFailure(const InstanceName &name, TimePoint now);
    /// It is full or leaving and said so: it rests a moment, without counting as a failure.
    void recordRefusal(const InstanceName &name, TimePoint now);
    /// Another process has its address.
    void recordMisdirection(const InstanceName &name, TimePoint now);

    /// Requests that it has, as far as is known here.
    std::uint32_t inFlight(const InstanceName &name) const;
    /// What was given out here, as far as it changed since the last notice, and a part of the rest by turns; for a VM that may have to take over,
    /// which hears few notices, what changed since the last of those, with what was learned of the upstreams' paces. Needs the notice's sequence.
    void writeNotice(v1::LoadNotice &notice, bool forBackup);

private:
    struct Load
    {
        std::uint32_t requests = 0;
        /// Of prompts whose first event has not come.
        std::uint64_t tokens = 0;

        bool operator==(const Load &) const = default;
    };
    /// What the receivers of notices were told last of an upstream.
    struct ReportedLoad
    {
        Load load;
        /// That nothing is left was told once, and is told again at its turn.
        bool repeatZero = false;

        /// Whether the next notice must tell the load; it counts as told then.
        bool markReportedIfDue(const Load &now, bool isTurn);
    };
    struct Upstream
    {
        UpstreamInstance instance;
        bool isRemote = false;
        /// When it was seen on the list last.
        TimePoint lastListedAt{};
        Load ownLoad;
        /// Of the other servers, as of their last notices.
        Load peerLoad;
        ReportedLoad reported;
        ReportedLoad reportedToBackups;
        /// Whose turn it is to be told again, by the name's hash.
        std::uint64_t sliceHash = 0;
        double paceMs = 0;
        int consecutiveFailures = 0;
        TimePoint ejectedUntil{};
    };

    struct ReceivedLoad
    {
        Load load;
        /// The last notice that told it.
        std::uint64_t sequence = 0;
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastReceivedAt;
        std::map<InstanceName, ReceivedLoad> loads;
    };

    void addInstances(std::map<InstanceName, Upstream> &next, const std::vector<UpstreamInstance> &instances, TimePoint now) const;
    void replaceUpstreams(std::map<InstanceName, Upstream> &&next);
    bool isUsable(const Upstream &upstream, TimePoint now) const;
    void addLoads(const Peer &peer, int sign);
    void addLoad(const InstanceName &name, const Load &load, int sign);
    void expireUnreported(Peer &peer);
    bool isEligible(const Upstream &upstream, const PlacementQuery &query, TimePoint now) const;
    double fastestPace(const ServiceName &service) const;
    bool hasFreeSlot(const Upstream &upstream) const;
    bool wouldExceedMaxPause(const Upstream &upstream, const PlacementQuery &query, double fastestPaceMs) const;
    bool wouldFinishInTime(const Upstream &upstream, const PlacementQuery &query, double firstEventMs, double fastestPaceMs) const;
    bool anyWouldFinishInTime(const PlacementQuery &query, double fastestPaceMs, TimePoint now) const;
    double predictedMs(const Upstream &upstream, std::uint32_t promptTokens, double fastestPaceMs) const;
    const std::vector<const Upstream *> &upstreamsOf(const ServiceName &service) const;
    Upstream *find(const InstanceName &name);

    const DataCentreName m_localDataCentre;
    std::map<InstanceName, Upstream> m_upstreams;
    /// Each service's part of them.
    std::map<ServiceName, std::vector<const Upstream *>> m_upstreamsByService;
    std::map<ServiceName, FirstEventModel> m_firstEventModels;
    std::map<ServiceName, PauseRatioEstimator> m_pauseRatios;
    std::map<VmName, Peer> m_peers;
    std::uint64_t m_backupNoticeCount = 0;
    bool m_listInParts = false;
    bool m_listReadable = true;
};

}
