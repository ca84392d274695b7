#pragma once

#include "domain/declarations.h"
#include "entry/callerrequest.h"
#include "entry/versiontraffic.h"
#include "policy/leastoutstanding.h"
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
    using Capacity = LeastOutstanding;

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
    /// Takes out the requests whose deadline is not after now.
    std::vector<RequestId> takeExpired(TimePoint now);
    void release(const Slot &slot, TimePoint now);
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
    std::optional<Slot> acquire(const Service &service, const PendingRequest &request, const Declarations &declarations, TimePoint now);

    void rebuildUsable();

    std::shared_ptr<const Declarations> m_declarations = std::make_shared<const Declarations>();
    /// The declarations without the upstreams that get no new work now.
    std::shared_ptr<const Declarations> m_usable = m_declarations;
    std::set<UpstreamName> m_unusable;
    const VersionTraffic *m_versions = nullptr;
    Availability m_availability;
    std::map<ServiceName, PendingQueue> m_queues;
    Capacity m_capacity;
    sigc::signal<void, const RequestId &, const Slot &, const Upstream &> m_granted;
};

}
