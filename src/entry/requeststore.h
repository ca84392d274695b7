#pragma once

#include "entry/activerequest.h"

#include <map>
#include <memory>
#include <vector>

namespace cumindyke
{

/// The requests that one entry VM holds, from their admission to their final answer.
class RequestStore
{
public:
    explicit RequestStore(EventLoop &loop);

    ActiveRequest &add(CallerRequest request, std::shared_ptr<Exchange> exchange);
    /// Null when the request has ended or was never here.
    ActiveRequest *find(const RequestId &id);
    /// Takes a request out. Its signals may be under way, so the loop destroys it after they have returned.
    std::shared_ptr<ActiveRequest> take(const RequestId &id);
    std::size_t size() const
    {
        return m_active.size();
    }
    /// Ended requests were destroyed.
    sigc::signal<void> &cleaned()
    {
        return m_cleaned;
    }
    void clear()
    {
        m_active.clear();
    }

private:
    std::map<RequestId, std::shared_ptr<ActiveRequest>> m_active;
    std::vector<std::shared_ptr<ActiveRequest>> m_ended;
    Timer m_cleanUp;
    sigc::signal<void> m_cleaned;
};

}
