#pragma once

#include "cell/cellmessages.h"
#include "policy/placement.h"
#include "policy/prefixindex.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// An upstream of the cell, from the declarations.
struct CellUpstream
{
    UpstreamName name;
    VersionName version;
    /// Maximum number of concurrent requests.
    std::uint32_t slots = 1;
};

/// A load report of an upstream. It lags behind the upstream's actual load.
struct UpstreamLoad
{
    std::uint32_t running = 0;
    /// Admitted by the engine but not in its batch yet.
    std::uint32_t waiting = 0;
    /// Answer tokens since the engine started; 0 when the engine does not report them.
    std::uint64_t generatedTokens = 0;
    /// When the engine made the report, by the reader's clock; the time of reading when the report has no time.
    TimePoint at;
};

struct CellOptions
{
    CellName cell;
    /// Fencing number of the cell's assignment; entry VMs ignore grants of an older epoch.
    Epoch epoch;
    /// The entry VMs that may hold slots of the cell.
    std::set<VmName> entryVms;
    /// After a takeover nothing is granted until every entry VM has reported the slots it holds, or for this long.
    Duration takeoverTimeout = std::chrono::milliseconds(500);
    PlacementOptions placement;
    /// Adapts windows to the number of requests that engines run concurrently; otherwise the declared slots are used.
    bool adaptWindows = true;
    bool useCacheEvents = true;
    /// Shares an overloaded tier fairly between organisations, by work.
    bool fairByWork = true;
    /// Lets VMs keep the slots of ended requests while no request waits.
    bool keepSlots = true;
};

/// Schedules one cell: receives the demands of all entry VMs and grants them slots on the cell's upstreams. Tiers have strict priority over
/// all entry VMs. Within a tier the earliest deadline is served first; while requests of the tier must be shed, the tier is shared fairly
/// between organisations by work.
///
/// Grants expire: a lost message costs capacity until the grant's expiry, never a request. The state is rebuilt from the VMs' reports, which
/// are always complete, so a new scheduler of the cell needs nothing from the previous one. Does no I/O and reads no clock.
class CellScheduler
{
public:
    CellScheduler(CellOptions options, TimePoint now);

    /// Replaces the upstreams; those already known keep their measured state.
    void setUpstreams(const std::vector<CellUpstream> &upstreams, TimePoint now);
    /// Sets the organisations' weights; an organisation that is not in the map has weight 1.
    void setWeights(const std::map<OrganisationName, std::uint32_t> &weights);
    /// Sets the entry VMs whose reports are awaited after a takeover.
    void setEntryVms(std::set<VmName> vms);
    /// Sets whether slots of an upstream may be granted; those of unreachable and draining upstreams may not.
    void setUsable(const UpstreamName &upstream, bool usable);

    /// Replaces a VM's demand; one that is not newer than its last demand is ignored.
    void handleDemand(const VmName &vm, const Demand &demand, TimePoint now);
    /// Replaces the slots held by a VM, and marks the upstreams that it can't reach as unusable; an older report is ignored.
    void handleReport(const VmName &vm, const GrantReport &report, TimePoint now);
    /// Updates an upstream's window and speed from its load report, and marks it as usable.
    void handleLoad(const UpstreamName &upstream, const UpstreamLoad &load, TimePoint now);
    /// Records that an upstream has stored or evicted a prefix in its cache.
    void handleCacheEvent(const UpstreamName &upstream, std::uint64_t prefix, bool stored);

    /// Grants free slots, and returns the messages to be sent: to VMs that get grants or whose last demand has had no reply.
    /// Call it a few milliseconds after a message was received (coalescing), and every 100 ms.
    std::vector<std::pair<VmName, Grants>> step(TimePoint now);

    /// Returns an upstream's state for metrics and tests, or null when the upstream is unknown.
    const UpstreamState *upstream(const UpstreamName &name) const;
    /// Returns whether grants are withheld until the entry VMs have reported the slots they hold.
    bool waitsForReports(TimePoint now) const;

private:
    /// A line of a VM's latest demand. The count is reduced by the grants made for it.
    struct VmDemandLine
    {
        std::uint32_t vm = 0;
        TierRank tier;
        std::uint32_t version = 0;
        std::uint32_t organisation = 0;
        TokenCount prompt;
        TokenCount answer;
        std::uint64_t prefix = 0;
        std::uint32_t count = 0;
        TimePoint deadline;
        std::uint32_t key = 0;
    };
    /// A grant that is not in the VM's reports yet, and counts as in flight until it is or until it expires.
    struct UnacknowledgedGrant
    {
        /// Number of the Grants message.
        std::uint64_t number = 0;
        std::uint32_t upstream = 0;
        std::uint32_t key = 0;
        bool isLong = false;
        TimePoint expiry;
    };
    struct Vm
    {
        VmName name;
        TimePoint lastReceivedAt;
        std::uint64_t demandSequence = 0;
        std::uint64_t reportSequence = 0;
        std::uint64_t grantsSent = 0;
        std::vector<VmDemandLine> lines;
        std::optional<TierRank> lowestWaiting;
        std::optional<TierRank> mustShed;
        std::vector<InFlight> reportedInFlight;
        std::deque<UnacknowledgedGrant> unacknowledged;
        bool replyDue = false;
        bool hasReported = false;
    };
    /// The latest load report of an upstream, if any.
    struct LoadHistory
    {
        UpstreamLoad latest;
        bool known = false;
    };
    struct OrganisationShare
    {
        /// Served work in tokens, divided by weight.
        double servedWork = 0;
        double weight = 1;
        /// Whether requests of the organisation wait.
        bool active = false;
    };

    /// Returns a VM's state, which is added for a new VM, and sets its time of last receipt.
    Vm &touchVm(const VmName &name, TimePoint now);
    std::optional<std::uint32_t> upstreamIndex(const UpstreamName &name) const;
    std::uint32_t versionIndex(const VersionName &version);
    std::uint32_t organisationIndex(const OrganisationName &organisation);
    /// Adds a VM's slots to the upstreams' requests in flight, or subtracts them when sign is -1.
    void addInFlight(const std::vector<InFlight> &inFlight, int sign);
    void releaseUnacknowledged(const UnacknowledgedGrant &unacknowledged);
    void expireVms(TimePoint now);
    void expireUnacknowledged(TimePoint now);
    void adaptWindow(UpstreamState &upstream, const UpstreamLoad &previous, const UpstreamLoad &load) const;
    void updateSpeed(std::uint32_t index, const UpstreamLoad &load);
    void subtractUnacknowledged(Vm &vm);
    void collectDemandLines();
    void activateOrganisations(std::span<VmDemandLine *const> lines);
    void grantTier(std::span<VmDemandLine *const> tier, TimePoint now, std::vector<std::vector<Grant>> &grants);
    std::optional<std::uint32_t> nextOrganisation(const std::vector<std::deque<VmDemandLine *>> &waiting, bool shareFairly) const;
    bool grantLine(VmDemandLine &line, TimePoint now, std::vector<Grant> &grants);
    void updateRefusedTiers(TimePoint now);
    void updateSlotKeeping();
    Grants makeReply(Vm &vm, std::vector<Grant> grants) const;

    CellOptions m_options;
    TimePoint m_started;
    std::vector<CellUpstream> m_declaredUpstreams;
    std::vector<UpstreamState> m_upstreamStates;
    std::vector<LoadHistory> m_loadHistories;
    std::unordered_map<UpstreamName, std::uint32_t> m_upstreamIndex;
    std::vector<VersionName> m_versions;
    std::vector<OrganisationName> m_organisations;
    std::vector<OrganisationShare> m_shares;
    std::map<OrganisationName, std::uint32_t> m_weights;
    std::vector<Vm> m_vms;
    std::unordered_map<VmName, std::uint32_t> m_vmIndex;
    std::vector<VmDemandLine *> m_waitingLines;
    PrefixIndex m_prefixes;
    std::optional<TierRank> m_lowestWaiting;
    std::optional<TierRank> m_refuseFrom;
    bool m_mayKeepSlots = false;
    TimePoint m_refuseUntil;
    /// Until when a tier counts as overloaded, which makes it shared fairly between organisations.
    std::map<TierRank, TimePoint> m_overloadedUntil;
};

}
