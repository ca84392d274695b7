#pragma once

#include "entry/activerequest.h"

#include <map>
#include <memory>
#include <vector>

namespace cumindyke
{

/// The active requests of one entry VM, from admission to final answer.
class RequestStore
{
public:
    explicit RequestStore(EventLoop &loop);

    ActiveRequest &add(CallerRequest request, std::shared_ptr<Exchange> exchange);
    /// Returns null when the request has ended or is unknown.
    ActiveRequest *find(const RequestId &id);
    /// Removes and returns a request. It is destroyed from the event loop, since one of its signals may be being emitted.
    std::shared_ptr<ActiveRequest> remove(const RequestId &id);
    std::size_t size() const
    {
        return m_active.size();
    }
    /// Removed requests have been destroyed.
    sigc::signal<void> &endedRequestsDestroyed()
    {
        return m_endedRequestsDestroyed;
    }
    void clear()
    {
        m_active.clear();
    }

private:
    std::map<RequestId, std::shared_ptr<ActiveRequest>> m_active;
    std::vector<std::shared_ptr<ActiveRequest>> m_ended;
    Timer m_destroyTimer;
    sigc::signal<void> m_endedRequestsDestroyed;
};

}
