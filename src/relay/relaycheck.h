#pragma once

#include "common/eventloop.h"

#include <functional>

struct evhttp_connection;
struct evhttp_request;

namespace cumindyke
{

/// Asks a relay once whether it reaches an upstream; no request is sent there.
class RelayCheck
{
public:
    /// "onResult" is called once from the loop with the relay's HTTP status, 0 if it did not answer in time, unless the check is destroyed before. It must
    /// not destroy the check.
    RelayCheck(EventLoop &loop, const Address &relay, const Address &upstream, Duration timeout, std::function<void(int status)> onResult);
    ~RelayCheck();
    RelayCheck(const RelayCheck &) = delete;
    RelayCheck &operator=(const RelayCheck &) = delete;

private:
    static void onAnswer(evhttp_request *request, void *self);
    void finish(int status);

    evhttp_connection *m_connection;
    std::function<void(int)> m_onResult;
    Timer m_timer;
};

}
