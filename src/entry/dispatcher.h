#pragma once

#include "cell/grantpool.h"
#include "domain/declarations.h"
#include "entry/callerrequest.h"
#include "entry/versiontraffic.h"
#include "policy/lengthestimate.h"
#include "policy/pendingqueue.h"
#include "upstream/availability.h"

#include <sigc++/sigc++.h>

#include <map>
#include <memory>
#include <vector>

namespace cumindyke
{

/// Holds the request queues of one entry VM and dispatches queued requests when its capacity source has free slots.
class Dispatcher
{
public:
    /// The source of slots.
    using Capacity = GrantPool;

    /// "vms" are all VMs including this one: while a cell has no scheduler, each uses a fixed share of the cell's slots.
    Dispatcher(const VmName &vm, const std::set<VmName> &vms);

    void setDeclarations(std::shared_ptr<const Declarations> declarations, TimePoint now);
    /// Sets the object that chooses each request's version. It must outlive the dispatcher.
    void setVersions(const VersionTraffic *versions)
    {
        m_versions = versions;
    }
    /// Queues the request until dispatchQueued() finds a slot for it.
    void enqueue(const CallerRequest &request, bool isOnTrial, TimePoint now);
    /// Removes the request from its queue. Returns false when it was not queued.
    bool remove(const CallerRequest &request);
    /// Dispatches the queued requests of a service for which there are free slots.
    void dispatchQueued(const ServiceName &service, TimePoint now);
    void dispatchAllQueued(TimePoint now);
    /// Records that an upstream refused a request without running it, or can't be reached.
    void onUpstreamRefused(const UpstreamName &upstream, TimePoint now, Duration pause = {});
    /// Records that an upstream accepted a request.
    void onUpstreamAccepted(const UpstreamName &upstream, TimePoint now);
    /// Sets the upstreams that take no new work because they will stop.
    void setDrainingUpstreams(std::set<UpstreamName> draining, TimePoint now);
    /// Readmits upstreams whose ejection time has passed, and reroutes queued requests. To be called every few milliseconds.
    void refreshAvailability(TimePoint now);
    /// Removes and returns the requests that can no longer meet their deadline, and those shed in favour of higher tiers.
    std::vector<PendingRequest> removeUnservable(TimePoint now);
    /// Whether new requests of the service and tier are refused on arrival, because higher tiers need the capacity.
    bool refusesNewRequests(const ServiceName &service, TierRank tier, TimePoint now) const;
    void handleGrants(const Grants &grants, TimePoint now);
    /// Returns the messages that are due for the cells' schedulers. To be called after changes and at least every 100 ms.
    std::vector<CellMessages> cellMessages(TimePoint now);
    /// Records the length of an answer, for estimating later ones.
    void recordAnswerLength(const CallerRequest &request, TokenCount answer);
    void releaseSlot(const Slot &slot, TimePoint now);
    /// Number of queued requests of the service.
    std::size_t queueLength(const ServiceName &service) const;
    Capacity &capacity()
    {
        return m_capacity;
    }
    /// A request was removed from its queue and given a slot. The receiver dispatches it to that upstream or releases the slot.
    sigc::signal<void, const RequestId &, const Slot &, const Upstream &> &slotGranted()
    {
        return m_slotGranted;
    }

private:
    void dispatchQueue(const Service &service, PendingQueue &queue, TimePoint now);
    void rerouteQueued(TimePoint now);

    std::shared_ptr<const Declarations> m_declarations = std::make_shared<const Declarations>();
    const VersionTraffic *m_versions = nullptr;
    /// Upstreams that get no requests at the present share of a move.
    std::set<UpstreamName> m_excludedUpstreams;
    Availability m_availability;
    std::map<ServiceName, PendingQueue> m_queues;
    Capacity m_capacity;
    VmShare m_share;
    LengthEstimate m_lengthEstimate;
    sigc::signal<void, const RequestId &, const Slot &, const Upstream &> m_slotGranted;
};

}
