#include "upstream/livenesscheck.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <utility>

namespace cumindyke
{

LivenessCheck::LivenessCheck(EventLoop &loop, const Address &address, std::function<void(Liveness)> onResult)
    : m_connection(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , m_onResult(std::move(onResult))
    , m_timer(loop, [this] { finish(Liveness::Unknown); })
{
    m_timer.startOnce(MaxTime);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &target.sin_addr) != 1) {
        return;
    }
    bufferevent_setcb(m_connection, nullptr, nullptr, &LivenessCheck::onEvent, this);
    // On a failure that is known at once the timer reports that nothing was proved.
    bufferevent_socket_connect(m_connection, reinterpret_cast<sockaddr *>(&target), sizeof target);
}

LivenessCheck::~LivenessCheck()
{
    bufferevent_free(m_connection);
}

void LivenessCheck::onEvent(bufferevent * /*connection*/, short what, void *self)
{
    const bool isRefused = (what & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    const Liveness failure = isRefused ? Liveness::Refuses : Liveness::Unknown;
    static_cast<LivenessCheck *>(self)->finish((what & BEV_EVENT_CONNECTED) != 0 ? Liveness::Answers : failure);
}

void LivenessCheck::finish(Liveness liveness)
{
    m_timer.stop();
    bufferevent_setcb(m_connection, nullptr, nullptr, nullptr, nullptr);
    const std::function<void(Liveness)> onResult = std::exchange(m_onResult, {});
    if (onResult) {
        onResult(liveness);
    }
}

}
