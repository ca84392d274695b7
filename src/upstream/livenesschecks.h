#pragma once

#include "upstream/livenesscheck.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cumindyke
{

/// Runs at most one LivenessCheck per upstream at a time: all requests of an upstream are lost at the same moment when its process ends.
class LivenessChecks
{
public:
    using Callback = std::function<void(bool hasEnded)>;

    explicit LivenessChecks(EventLoop &loop)
        : m_loop(loop)
    {
    }

    /// Calls back once, after StartDelay and the time of one connection.
    void check(const std::string &upstream, const Address &address, Callback callback);

private:
    /// A process that ends closes its sockets one after the other, the listening one possibly last.
    static constexpr Duration StartDelay = std::chrono::milliseconds(20);

    struct Pending
    {
        Address address;
        std::vector<Callback> callbacks;
        std::unique_ptr<Timer> startTimer;
        std::unique_ptr<LivenessCheck> check;
    };

    void start(const std::string &upstream);
    void finish(const std::string &upstream, bool hasEnded);

    EventLoop &m_loop;
    std::map<std::string, std::shared_ptr<Pending>> m_pending;
};

}
