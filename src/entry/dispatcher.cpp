#include "entry/dispatcher.h"

namespace cumindyke
{

void Dispatcher::setDeclarations(std::shared_ptr<const Declarations> declarations, TimePoint now)
{
    m_declarations = std::move(declarations);
    serveAll(now);
}

void Dispatcher::add(const CallerRequest &request)
{
    m_queues[request.service].add(PendingRequest{
        .id = request.id,
        .tier = request.rank,
        .organisation = request.organisation,
        .service = request.service,
        .arrival = request.arrival,
        .deadline = request.deadline,
        .work = TokenCount{request.promptTokens.value + request.answerTokens.value},
    });
}

bool Dispatcher::remove(const CallerRequest &request)
{
    const auto queue = m_queues.find(request.service);
    return queue != m_queues.end() && queue->second.remove(request.id);
}

void Dispatcher::serve(const ServiceName &service, TimePoint now)
{
    const auto queue = m_queues.find(service);
    const Service *declared = m_declarations->service(service);
    if (queue != m_queues.end() && declared) {
        serveQueue(*declared, queue->second, now);
    }
}

void Dispatcher::serveAll(TimePoint now)
{
    for (const auto &[service, queue] : m_queues) {
        serve(service, now);
    }
}

void Dispatcher::serveQueue(const Service &service, PendingQueue &queue, TimePoint now)
{
    const std::shared_ptr<const Declarations> declarations = m_declarations;
    while (const PendingRequest *first = queue.first()) {
        const std::optional<Slot> slot = m_capacity.acquire(*first, *declarations, versionFor(service, *first), now);
        const Upstream *upstream = slot ? declarations->upstream(slot->upstream) : nullptr;
        if (!upstream) {
            return;
        }
        const RequestId id = first->id;
        queue.remove(id);
        m_granted.emit(id, *slot, *upstream);
    }
}

VersionName Dispatcher::versionFor(const Service &service, const PendingRequest & /*request*/) const
{
    return service.version;
}

std::vector<RequestId> Dispatcher::takeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    for (auto &[service, queue] : m_queues) {
        for (const PendingRequest &request : queue.takeExpired(now)) {
            expired.push_back(request.id);
        }
    }
    return expired;
}

void Dispatcher::release(const Slot &slot, TimePoint now)
{
    m_capacity.release(slot, now);
}

}
