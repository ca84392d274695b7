#pragma once

#include "cell/cellmessages.h"
#include "policy/capacity.h"
#include "policy/requestrate.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// An upstream of a cell, from the declarations.
struct PooledUpstream
{
    UpstreamName name;
    ServiceName service;
    VersionName version;
    CellName cell;
    std::uint32_t slots = 1;
};

/// This VM's index among the entry VMs, from which its share of the slots follows while a cell has no scheduler.
struct VmShare
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;
};

/// Speed of the fastest upstream. Zero until a scheduler has measured it: every request then counts as short, so that requests are refused only
/// at their deadlines and not on an assumed speed.
struct RunSpeed
{
    Duration perToken{};
    std::chrono::nanoseconds perPrefillToken{};

    /// Returns the time for prefill and answer of a request that starts at once.
    Duration runTime(const PendingRequest &request) const;
};

/// The messages to be sent to the scheduler of a cell, in one batch.
struct CellMessages
{
    Demand demand;
    GrantReport report;
};

/// The entry VM's side of cell scheduling: holds the grants of all cells until they are used, expire or are returned, and makes the demands and
/// reports for the cells' schedulers. Implements CapacitySource.
///
/// A request is first demanded from the home cell of its prompt's prefix, and after some milliseconds without a grant from every cell of the
/// service. Surplus grants are returned at once. While a cell's scheduler does not reply, this VM uses its fixed share of the cell's slots, so
/// that all VMs together can't overload an engine. While no request waits in a cell, the slot of an ended request without a prefix is kept for
/// this VM's next request for some hundred milliseconds, which needs no message. Does no I/O and reads no clock.
class GrantPool
{
public:
    explicit GrantPool(VmName vm);

    /// Sets the upstreams and the VM's share. Slots in use on a removed upstream stay counted until they are released.
    void setUpstreams(const std::vector<PooledUpstream> &upstreams, VmShare share);

    /// Handles a scheduler's reply; one of an older epoch, or one that is not newer than the last reply, is ignored.
    void handleGrants(const Grants &grants, TimePoint now);
    /// Returns a slot that was granted for requests like this one or for a lower tier, a kept slot, or one of the fallback share.
    std::optional<Slot> acquire(const PendingRequest &request, const Declarations &declarations, const VersionName &version, TimePoint now);
    /// Releases a slot whose request has ended or was never sent. The slot is kept for the next request if the cell allows it.
    void release(const Slot &slot, TimePoint now);
    /// Records that the upstream refused a connection: it gets no request for a second, and is reported to the scheduler.
    void recordUnreachable(const UpstreamName &upstream, TimePoint now);
    /// Records the request limit that the upstream named in an answer; no value: it named none.
    void recordRequestLimit(const UpstreamName &upstream, std::optional<double> perSecond, TimePoint now);
    /// Records that a request is sent to the upstream. One at its request limit gets none until it may get the next.
    void recordSent(const UpstreamName &upstream, TimePoint now);
    /// Returns whether acquire() can't return a slot for any request now.
    bool exhausted(TimePoint now) const;

    /// Removes unused grants, and returns the messages to be sent now; none for a cell whose scheduler is up to date. Call it some milliseconds
    /// after the queue or a slot changed, and at least every 100 ms.
    std::vector<CellMessages> messages(const ServiceName &service, const PendingQueue &queue, const VersionName &serviceVersion, TimePoint now);

    /// Sets the tier from which requests must be shed soon, so that the schedulers refuse lower tiers first; an empty value withdraws it.
    void setMustShed(const ServiceName &service, std::optional<TierRank> tier);
    /// Returns whether a request of the tier may be shed for lack of capacity: in every cell of the service whose scheduler replies, lower tiers
    /// are refused and no request of them waits any more.
    bool mayShed(const ServiceName &service, TierRank tier, TimePoint now) const;
    /// Returns the highest tier whose waiting and new requests are to be refused now, together with all lower tiers.
    std::optional<TierRank> refuseFrom(const ServiceName &service, TimePoint now) const;
    /// Returns the speed of the service's fastest upstream in any cell.
    RunSpeed speed(const ServiceName &service) const;
    /// Returns whether this VM uses its fixed share of the cell's slots because the scheduler does not reply.
    bool isFallback(const CellName &cell, TimePoint now) const;

private:
    /// A granted or kept slot without a request.
    struct UnusedGrant
    {
        std::uint32_t upstream = 0;
        TierRank tier;
        std::uint32_t key = 0;
        TimePoint expiry;
        Duration perToken{};
        /// Whether this is the kept slot of an ended request, which any request may use.
        bool isKept = false;
    };
    /// A slot with a request.
    struct UsedSlot
    {
        std::uint32_t upstream = 0;
        bool isLong = false;
        std::uint32_t tokens = 0;
        Duration perToken{};
        /// Whether the slot was granted by a scheduler, which counts it as held, and its request needs no particular upstream.
        bool mayKeep = false;
        bool isOnTrial = false;
    };
    /// This VM's slots on an upstream.
    struct UpstreamSlots
    {
        PooledUpstream upstream;
        std::uint32_t cell = 0;
        /// Slots with a request.
        std::uint32_t running = 0;
        std::uint32_t longRunning = 0;
        /// Predicted tokens of the running requests.
        std::uint32_t tokens = 0;
        /// Granted and kept slots without a request.
        std::uint32_t unused = 0;
        /// Slots with a request under a trial.
        std::uint32_t trials = 0;
        /// Number of slots that this VM may use while the cell has no scheduler.
        std::uint32_t fallbackShare = 0;
        /// Whether the upstream is in the declarations.
        bool declared = true;
        TimePoint unreachableUntil;
        RequestRate rate;
        /// Until when the upstream is at its request limit. Not reported to the scheduler, which would give its grants to no VM.
        TimePoint limitedUntil;

        bool mayUse(const PendingRequest &request, TimePoint now) const
        {
            return mayUse(now) && !(request.isOnTrial && trials > 0);
        }
        bool mayUse(TimePoint now) const
        {
            return unreachableUntil <= now && limitedUntil <= now;
        }
    };
    struct Cell
    {
        CellName name;
        ServiceName service;
        Epoch epoch;
        /// Sequence number of the last demand and report.
        std::uint64_t sequence = 0;
        /// Number of the last reply received in the epoch.
        std::uint64_t grantsSeen = 0;
        std::vector<UnusedGrant> unusedGrants;
        /// Sequence numbers and sending times of the last demands, the newest at the back. A grant's lifetime runs from the sending time.
        std::deque<std::pair<std::uint64_t, TimePoint>> sentDemands;
        /// When the first demand without a reply was sent.
        std::optional<TimePoint> unacknowledgedSince;
        TimePoint lastSentAt;
        TimePoint lastReceivedAt;
        /// Hash of the last sent demand's contents.
        std::uint64_t lastDemandHash = 0;
        /// Whether the slots held have changed since the last report.
        bool reportDue = false;
        std::optional<TierRank> lowestWaiting;
        std::optional<TierRank> refuseFrom;
        RunSpeed speed;
        /// How long the slot of an ended request may be kept; zero if it must be returned.
        Duration keepDuration{};
    };

    std::optional<std::uint32_t> cellIndex(const CellName &cell) const;
    std::uint32_t findOrAddCell(const PooledUpstream &upstream);
    bool usesFallback(const Cell &cell, TimePoint now) const;
    std::uint32_t homeCell(const ServiceName &service, std::uint64_t prefix) const;
    std::optional<Slot> occupySlot(std::uint32_t upstream, const PendingRequest &request, const UnusedGrant *grant);
    std::optional<Slot> useGrant(Cell &cell, std::vector<UnusedGrant>::iterator grant, const PendingRequest &request);
    std::optional<Slot> acquireKept(const PendingRequest &request, const VersionName &version, TimePoint now);
    bool mayUseKept(const UnusedGrant &grant, const PendingRequest &request, const VersionName &version, TimePoint now) const;
    std::optional<Slot> acquireGrant(const PendingRequest &request, const VersionName &version, std::uint32_t key, TimePoint now);
    std::optional<Slot> acquireFallback(const PendingRequest &request, const VersionName &version, TimePoint now);
    void returnGrants(Cell &cell, bool includeKept, TimePoint now);
    std::vector<DemandLine> demandLines(std::uint32_t cell, const PendingQueue &queue, const VersionName &serviceVersion, TimePoint now) const;
    GrantReport makeReport(const Cell &cell, std::uint32_t index, TimePoint now) const;
    bool isMessageDue(const Cell &cell, std::uint32_t index, std::uint64_t demandHash, bool hasWaiting, TimePoint now) const;

    VmName m_vm;
    /// This VM's part of an upstream's request limit.
    double m_rateShare = 1;
    std::vector<UpstreamSlots> m_upstreams;
    std::unordered_map<UpstreamName, std::uint32_t> m_upstreamIndex;
    std::vector<Cell> m_cells;
    std::map<ServiceName, std::optional<TierRank>> m_mustShed;
    std::unordered_map<std::uint64_t, UsedSlot> m_usedSlots;
    std::uint64_t m_lastSlotNumber = 0;
};

/// Returns the key of requests that are equivalent for demands and grants: the hash of tier, version, organisation, lengths rounded to three
/// significant bits, and prefix.
std::uint32_t demandKey(const PendingRequest &request, const VersionName &version);

}
