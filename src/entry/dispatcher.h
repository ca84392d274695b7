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

/// Lets waiting requests go when there is capacity for them: the queues of one entry VM and its capacity source.
class Dispatcher
{
public:
    using Capacity = GrantPool;

    /// All VMs, this one too: without a scheduler each uses its share of a cell.
    Dispatcher(const VmName &vm, const std::set<VmName> &vms);

    void setDeclarations(std::shared_ptr<const Declarations> declarations, TimePoint now);
    /// Where the version of each request comes from; lives as long as this.
    void setVersions(const VersionTraffic *versions)
    {
        m_versions = versions;
    }
    /// The request waits from now on; serve() may let it go.
    void add(const CallerRequest &request, TimePoint now);
    /// False when the request was not waiting.
    bool remove(const CallerRequest &request);
    /// Lets go what there is capacity for.
    void serve(const ServiceName &service, TimePoint now);
    void serveAll(TimePoint now);
    /// What was seen of an upstream: it refused a request unrun, or can't be reached.
    void upstreamRefused(const UpstreamName &upstream, TimePoint now);
    /// It took a request.
    void upstreamTook(const UpstreamName &upstream, TimePoint now);
    void setLeaving(std::set<UpstreamName> leaving, TimePoint now);
    /// Lets upstreams whose pause is over back in. Call it often.
    void refresh(TimePoint now);
    /// Takes out the requests that can't finish before their deadline any more, and those that make room for higher tiers.
    std::vector<PendingRequest> shedRequests(TimePoint now);
    /// Whether requests of the service and tier are refused at their arrival, to make room for higher tiers.
    bool refuses(const ServiceName &service, TierRank tier, TimePoint now) const;
    void takeGrants(const Grants &grants, TimePoint now);
    /// What is to be told to the schedulers of the cells now; call it after changes and at least every 100 ms.
    std::vector<CellMessages> cellMessages(TimePoint now);
    /// How long an answer was, for the estimates of later ones.
    void learnAnswer(const CallerRequest &request, TokenCount answer);
    void release(const Slot &slot, TimePoint now);
    /// How many requests of the service wait.
    std::size_t waiting(const ServiceName &service) const;
    Capacity &capacity()
    {
        return m_capacity;
    }
    /// A request has left its queue with a slot on an upstream: it must be dispatched there or the slot released.
    sigc::signal<void, const RequestId &, const Slot &, const Upstream &> &granted()
    {
        return m_granted;
    }

private:
    void serveQueue(const Service &service, PendingQueue &queue, TimePoint now);
    void rerouteWaiting(TimePoint now);

    std::shared_ptr<const Declarations> m_declarations = std::make_shared<const Declarations>();
    const VersionTraffic *m_versions = nullptr;
    /// Upstreams that a move leaves without work.
    std::set<UpstreamName> m_resting;
    Availability m_availability;
    std::map<ServiceName, PendingQueue> m_queues;
    Capacity m_capacity;
    VmShare m_share;
    LengthEstimate m_lengths;
    sigc::signal<void, const RequestId &, const Slot &, const Upstream &> m_granted;
};

}
