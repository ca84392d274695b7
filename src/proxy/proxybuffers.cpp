// ProxyTask: the buffer budget.

#include "proxy/proxytask.h"

#include "common/log.h"
#include "entry/callerconnection.h"

namespace cumindyke
{

void ProxyTask::countBuffers(HttpServer &door)
{
    door.countBuffers([this](CallerId id, const CallerBuffers &buffers) {
        m_buffers->update(id, buffers, EventLoop::now());
        if (m_buffers->isExceeded()) {
            // A connection can't be closed in its own callback.
            m_evictionTimer.startOnceIfStopped(Duration::zero());
        }
    });
}

void ProxyTask::recordBufferedBytes()
{
    if (m_buffers) {
        m_metrics.gauge("cumindyke_buffered_bytes", "Bytes of requests and answers that were read and not passed on yet", {})
            .set(static_cast<double>(m_buffers->usedBytes()));
    }
}

void ProxyTask::evictBuffers()
{
    const std::vector<BufferEviction> evictions = m_buffers->evict(EventLoop::now());
    if (evictions.empty()) {
        return;
    }
    std::map<const Exchange *, ProxyRequest *> requests;
    for (const auto &[localId, request] : m_requests) {
        requests[request->exchange.get()] = request.get();
    }
    for (const BufferEviction &eviction : evictions) {
        const auto connection = m_callerDoor->connection(eviction.id);
        const auto found = requests.find(connection ? connection->exchange().get() : nullptr);
        drop(eviction, found == requests.end() ? nullptr : found->second);
    }
    recordBufferedBytes();
}

/// Drops a connection. The request is the one that is being answered on it; null: none.
void ProxyTask::drop(const BufferEviction &eviction, ProxyRequest *request)
{
    const char *kind = toString(eviction.kind);
    logChange("proxy", "buffer-short", {{"id", request ? request->parsed.id.value : ""}, {"kind", kind}, {"bytes", std::to_string(eviction.bytes)}});
    m_metrics.counter("cumindyke_buffer_evictions_total", "Connections that were dropped because the buffer budget was used up", {{"kind", kind}}).add();
    if (request) {
        const std::shared_ptr<Exchange> exchange = request->exchange;
        finish(*request, "failed", "the caller reads too slowly for the buffer budget");
        exchange->reset();
        return;
    }
    auto connection = m_callerDoor->connection(eviction.id);
    if (!connection) {
        connection = m_readinessDoor->connection(eviction.id);
    }
    if (connection && eviction.kind == EvictionKind::Body) {
        connection->refuseRequest();
    } else if (connection && !connection->exchange()) {
        connection->reset();
    }
}

}
