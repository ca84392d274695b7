#pragma once

#include "cell/cellmessages.h"
#include "policy/capacity.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// An upstream as entry VMs know it from the declarations.
struct PooledUpstream
{
    UpstreamName name;
    ServiceName service;
    VersionName version;
    CellName cell;
    std::uint32_t slots = 1;
};

/// This VM's place among the entry VMs, for its share of the slots while a cell has no scheduler.
struct VmShare
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;
};

/// How fast requests run on the best upstreams. Zero until a scheduler has measured it: then every run counts as short, and nothing
/// is refused on a guess but only at its deadline.
struct RunSpeed
{
    Duration perToken{};
    std::chrono::nanoseconds perPrefillToken{};

    /// Prefill and answer of a request that starts at once.
    Duration run(const PendingRequest &request) const;
};

/// What is to be sent to the scheduler of a cell, both in one batch.
struct CellMessages
{
    Demand demand;
    GrantReport report;
};

/// The entry side of the cells' scheduling: holds the grants of every cell until they are used, expire or are given back, and says
/// what waits and what is held. A CapacitySource.
///
/// A request first asks the home cell of its prompt's prefix; when that has given nothing for some milliseconds, every cell of the
/// service. What comes too much is given back at once. While a cell's scheduler does not answer, this VM uses its fixed share of
/// the cell's slots, so that all VMs together can't overrun an engine. While nobody waits in a cell, a slot whose request has ended
/// and had no prefix stays here for the next request for some hundred milliseconds, and no message is needed. Pure: the caller passes the time.
class GrantPool
{
public:
    explicit GrantPool(VmName vm);

    /// The upstreams and the VM's share from now on. What is held of an upstream that left stays counted until it is released.
    void setUpstreams(const std::vector<PooledUpstream> &upstreams, VmShare share);

    /// Takes a scheduler's answer; one of an older epoch, or that came before, is ignored.
    void handleGrants(const Grants &grants, TimePoint now);
    /// A slot whose grant was for requests like this one, or for a lower tier.
    std::optional<Slot> acquire(const PendingRequest &request, const Declarations &declarations, const VersionName &version, TimePoint now);
    void release(const Slot &slot, TimePoint now);
    /// A connection to the upstream was refused: it is left out for a second, and the scheduler is told.
    void recordUnreachable(const UpstreamName &upstream, TimePoint now);
    /// True when acquire() can give nothing to anybody now.
    bool exhausted(TimePoint now) const;

    /// What to send now, after unused grants have been given back: call it some milliseconds after the queue or a slot changed,
    /// and at least every 100 ms. Nothing is returned for a cell that knows all already.
    std::vector<CellMessages> messages(const ServiceName &service, const PendingQueue &queue, const VersionName &serviceVersion, TimePoint now);

    /// Asks the schedulers to have lower tiers refused, because requests of this tier must be shed soon; nothing withdraws it.
    void setMustShed(const ServiceName &service, std::optional<TierRank> tier);
    /// Whether a request of the tier may be shed for want of capacity: lower tiers are refused in every cell of the service that answers,
    /// and none waits there any more.
    bool mayShed(const ServiceName &service, TierRank tier, TimePoint now) const;
    /// The highest tier whose waiting and new requests are to be refused now, with all lower ones.
    std::optional<TierRank> refuseFrom(const ServiceName &service, TimePoint now) const;
    RunSpeed speed(const ServiceName &service) const;
    /// Whether this VM uses its fixed share because the cell's scheduler does not answer.
    bool isFallback(const CellName &cell, TimePoint now) const;

private:
    struct HeldGrant
    {
        std::uint32_t upstream = 0;
        TierRank tier;
        std::uint32_t key = 0;
        TimePoint expiry;
        Duration perToken{};
        /// Its request has ended; any request may use it.
        bool kept = false;
    };
    struct InUse
    {
        std::uint32_t upstream = 0;
        bool isLong = false;
        std::uint32_t tokens = 0;
        Duration perToken{};
        /// Granted by a scheduler, where it counts as held, and used by a request that needs no particular upstream.
        bool mayBeKept = false;
    };
    struct UpstreamSlots
    {
        PooledUpstream upstream;
        std::uint32_t cell = 0;
        std::uint32_t running = 0;
        std::uint32_t longRunning = 0;
        std::uint32_t tokens = 0;
        std::uint32_t unused = 0;
        /// Slots of this VM without a scheduler.
        std::uint32_t share = 0;
        bool declared = true;
        TimePoint unreachableUntil;
    };
    struct Cell
    {
        CellName name;
        ServiceName service;
        Epoch epoch;
        std::uint64_t sequence = 0;
        std::uint64_t grantsSeen = 0;
        std::vector<HeldGrant> unused;
        /// When the last demands were sent, the newest at the back: a grant expires counted from then.
        std::deque<std::pair<std::uint64_t, TimePoint>> sent;
        std::optional<TimePoint> unansweredSince;
        TimePoint lastSent;
        TimePoint lastHeard;
        std::uint64_t lastLines = 0;
        bool heldChanged = false;
        std::optional<TierRank> lowestWaiting;
        std::optional<TierRank> refuseFrom;
        RunSpeed speed;
        Duration keep{};
    };

    std::optional<std::uint32_t> cellIndex(const CellName &cell) const;
    std::uint32_t addCell(const PooledUpstream &upstream);
    bool fallback(const Cell &cell, TimePoint now) const;
    std::uint32_t homeCell(const ServiceName &service, std::uint64_t prefix) const;
    std::optional<Slot> use(std::uint32_t upstream, const PendingRequest &request, const HeldGrant *grant);
    std::optional<Slot> takeGrant(Cell &cell, std::vector<HeldGrant>::iterator grant, const PendingRequest &request);
    std::optional<Slot> acquireKept(const PendingRequest &request, const VersionName &version, TimePoint now);
    bool mayUseKept(const HeldGrant &grant, const PendingRequest &request, const VersionName &version, TimePoint now) const;
    std::optional<Slot> acquireGrant(const PendingRequest &request, const VersionName &version, std::uint32_t key, TimePoint now);
    std::optional<Slot> acquireShare(const PendingRequest &request, const VersionName &version, TimePoint now);
    void giveBack(Cell &cell, bool keptToo, TimePoint now);
    std::vector<DemandLine> lines(std::uint32_t cell, const PendingQueue &queue, const VersionName &serviceVersion, TimePoint now) const;
    GrantReport report(const Cell &cell, std::uint32_t index, TimePoint now) const;
    bool isDue(const Cell &cell, std::uint32_t index, std::uint64_t linesNow, bool waits, TimePoint now) const;

    VmName m_vm;
    std::vector<UpstreamSlots> m_upstreams;
    std::unordered_map<UpstreamName, std::uint32_t> m_upstreamIndex;
    std::vector<Cell> m_cells;
    std::map<ServiceName, std::optional<TierRank>> m_mustShed;
    std::unordered_map<std::uint64_t, InUse> m_inUse;
    std::uint64_t m_lastSlot = 0;
};

/// Names requests that are alike for demand and grants: tier, version, organisation, lengths to three significant bits, prefix.
std::uint32_t demandKey(const PendingRequest &request, const VersionName &version);

}
