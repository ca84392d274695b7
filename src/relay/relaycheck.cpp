#include "relay/relaycheck.h"

#include <event2/http.h>

#include <utility>

namespace cumindyke
{

RelayCheck::RelayCheck(EventLoop &loop, const Address &relay, const Address &upstream, Duration timeout, std::function<void(int)> onResult)
    : m_connection(evhttp_connection_base_new(loop.base(), nullptr, relay.host.c_str(), relay.port))
    , m_onResult(std::move(onResult))
    , m_timer(loop, [this] { finish(0); })
{
    // On a failure that is known at once the timer reports it.
    m_timer.startOnce(timeout);
    evhttp_request *request = evhttp_request_new(&RelayCheck::onAnswer, this);
    const std::string target = toString(upstream);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", target.c_str());
    evhttp_make_request(m_connection, request, EVHTTP_REQ_CONNECT, target.c_str());
}

RelayCheck::~RelayCheck()
{
    m_onResult = {};
    evhttp_connection_free(m_connection);
}

void RelayCheck::onAnswer(evhttp_request *request, void *self)
{
    static_cast<RelayCheck *>(self)->finish(request ? evhttp_request_get_response_code(request) : 0);
}

void RelayCheck::finish(int status)
{
    m_timer.stop();
    if (const std::function<void(int)> onResult = std::exchange(m_onResult, {})) {
        onResult(status);
    }
}

}
