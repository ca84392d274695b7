#pragma once

#include "common/types.h"

#include <algorithm>

namespace cumindyke
{

/// This VM's budget of retries to one service, so that a failing service is not sent a multiple of its usual load. Each first attempt earns a
/// fraction of a retry; a few retries may be saved up.
class RetryBudget
{
public:
    void recordFirstAttempt()
    {
        m_available = std::min(MaxAvailable, m_available + RetriesPerRequest);
    }
    bool trySpend()
    {
        if (m_available < 1) {
            return false;
        }
        m_available -= 1;
        return true;
    }

private:
    /// The service's operators allow 0.2 retries per request over all VMs, plus a slack; this stays below both.
    static constexpr double RetriesPerRequest = 0.17;
    static constexpr double MaxAvailable = 4;
    double m_available = 2;
};

}
