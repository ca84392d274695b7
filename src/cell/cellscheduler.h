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

struct CellUpstream
{
    UpstreamName name;
    VersionName version;
    /// The most requests it may be given at once.
    std::uint32_t slots = 1;
};

/// What an upstream reports, as it was some time ago.
struct UpstreamLoad
{
    std::uint32_t running = 0;
    /// Admitted by the engine but not in its batch yet.
    std::uint32_t waiting = 0;
    /// Answer tokens since the engine started; 0 when it does not say.
    std::uint64_t generatedTokens = 0;
    /// When the engine took the report, by the reader's clock; the time of reading when the report does not say.
    TimePoint at;
};

struct CellOptions
{
    CellName cell;
    /// The lease's fencing number; entry VMs ignore grants of an older one.
    Epoch epoch;
    /// Entry VMs that may hold capacity of the cell.
    std::set<VmName> entryVms;
    /// After a take-over, grants wait until every entry VM has reported what it holds, or this long.
    Duration takeoverWait = std::chrono::milliseconds(500);
    PlacementOptions placement;
    /// Adapts windows to what engines are seen to run; else the declared slots.
    bool adaptWindows = true;
    bool useCacheEvents = true;
    bool fairByWork = true;
    /// Lets VMs keep ended slots while nobody waits.
    bool keepSlots = true;
};

/// Schedules one cell: takes what waits on every entry VM, and gives them slots on the cell's upstreams. Strict tiers over all entry
/// VMs; inside a tier the earliest deadline, and when the tier must be shed from, fair between organisations by work.
///
/// Grants are capacity with an expiry: a lost message loses capacity until then, never a request. The state is rebuilt from reports,
/// which are complete each time, so that a new holder of the cell needs nothing from the old one. Pure: the caller passes the time.
class CellScheduler
{
public:
    CellScheduler(CellOptions options, TimePoint now);

    /// The upstreams from now on; one that stays keeps what was learned of it.
    void setUpstreams(const std::vector<CellUpstream> &upstreams, TimePoint now);
    void setWeights(const std::map<OrganisationName, std::uint32_t> &weights);
    void setEntryVms(std::set<VmName> vms);
    /// Unreachable or leaving upstreams get no grant.
    void setUsable(const UpstreamName &upstream, bool usable);

    void handleDemand(const VmName &vm, const Demand &demand, TimePoint now);
    void handleReport(const VmName &vm, const GrantReport &report, TimePoint now);
    void handleLoad(const UpstreamName &upstream, const UpstreamLoad &load, TimePoint now);
    void handleCacheEvent(const UpstreamName &upstream, std::uint64_t prefix, bool stored);

    /// Decides, and returns what is to be sent: to VMs that get capacity, or whose last demand has had no answer.
    /// Call it some milliseconds after a message came (coalescing), and every 100 ms.
    std::vector<std::pair<VmName, Grants>> step(TimePoint now);

    /// For metrics and tests.
    const UpstreamState *upstream(const UpstreamName &name) const;
    bool waitsForReports(TimePoint now) const;

private:
    struct Line
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
    /// A grant that the VM's reports don't count in yet.
    struct Unseen
    {
        std::uint64_t number = 0;
        std::uint32_t upstream = 0;
        std::uint32_t key = 0;
        bool isLong = false;
        TimePoint until;
    };
    struct Vm
    {
        VmName name;
        TimePoint lastHeard;
        std::uint64_t demandSequence = 0;
        std::uint64_t reportSequence = 0;
        std::uint64_t grantsSent = 0;
        std::vector<Line> lines;
        std::optional<TierRank> lowestWaiting;
        std::optional<TierRank> mustShed;
        std::vector<InFlight> held;
        std::deque<Unseen> unseen;
        bool answerDue = false;
        bool reported = false;
    };
    struct LearnedSpeed
    {
        UpstreamLoad last;
        bool known = false;
    };
    struct OrganisationShare
    {
        double served = 0;
        double weight = 1;
        bool active = false;
    };

    Vm &vmOf(const VmName &name, TimePoint now);
    std::optional<std::uint32_t> upstreamIndex(const UpstreamName &name) const;
    std::uint32_t versionIndex(const VersionName &version);
    std::uint32_t organisationIndex(const OrganisationName &organisation);
    void countHeld(const std::vector<InFlight> &held, int sign);
    void dropUnseen(const Unseen &unseen);
    void forgetSilentVms(TimePoint now);
    void expireUnseen(TimePoint now);
    void adaptWindow(UpstreamState &upstream, const UpstreamLoad &last, const UpstreamLoad &load) const;
    void learnSpeed(std::uint32_t index, const UpstreamLoad &load);
    void subtractUnseen(Vm &vm);
    void collectLines();
    void wakeOrganisations(std::span<Line *const> tier);
    void grantTier(std::span<Line *const> tier, TimePoint now, std::vector<std::vector<Grant>> &grants);
    std::optional<std::uint32_t> nextOrganisation(const std::vector<std::deque<Line *>> &waiting, bool fair) const;
    bool grantLine(Line &line, TimePoint now, std::vector<Grant> &grants);
    void decideFloor(TimePoint now);
    void decideKeeping();
    Grants answer(Vm &vm, std::vector<Grant> grants) const;

    CellOptions m_options;
    TimePoint m_started;
    std::vector<CellUpstream> m_names;
    std::vector<UpstreamState> m_upstreams;
    std::vector<LearnedSpeed> m_speeds;
    std::unordered_map<UpstreamName, std::uint32_t> m_upstreamIndex;
    std::vector<VersionName> m_versions;
    std::vector<OrganisationName> m_organisations;
    std::vector<OrganisationShare> m_shares;
    std::map<OrganisationName, std::uint32_t> m_weights;
    std::vector<Vm> m_vms;
    std::unordered_map<VmName, std::uint32_t> m_vmIndex;
    std::vector<Line *> m_waiting;
    PrefixIndex m_prefixes;
    std::optional<TierRank> m_lowestWaiting;
    std::optional<TierRank> m_refuseFrom;
    bool m_keep = false;
    TimePoint m_refuseUntil;
    /// Until when a tier counts as one that must be shed from.
    std::map<TierRank, TimePoint> m_shedUntil;
};

}
