#include "entry/requeststore.h"

namespace cumindyke
{

RequestStore::RequestStore(EventLoop &loop)
    : m_destroyTimer(loop, [this] {
        m_ended.clear();
        m_endedRequestsDestroyed.emit();
    })
{
}

ActiveRequest &RequestStore::add(CallerRequest request, std::shared_ptr<Exchange> exchange)
{
    auto active = std::make_shared<ActiveRequest>();
    active->request = std::move(request);
    active->exchange = std::move(exchange);
    return *m_active.emplace(active->request.id, active).first->second;
}

ActiveRequest *RequestStore::find(const RequestId &id)
{
    const auto found = m_active.find(id);
    return found == m_active.end() ? nullptr : found->second.get();
}

std::shared_ptr<ActiveRequest> RequestStore::remove(const RequestId &id)
{
    const auto found = m_active.find(id);
    if (found == m_active.end()) {
        return nullptr;
    }
    std::shared_ptr<ActiveRequest> ended = std::move(found->second);
    m_active.erase(found);
    m_ended.push_back(ended);
    m_destroyTimer.startOnce(Duration::zero());
    return ended;
}

}
