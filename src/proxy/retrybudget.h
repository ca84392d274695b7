#pragma once

#include "common/types.h"

#include <algorithm>

namespace cumindyke
{

/// This VM's allowance of repeated sendings to one service, so that a service in trouble isn't met with several times its usual load.
/// Each first sending earns a part of a repeat; a few may be spent ahead.
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
    /// Repeats per request that the service's operators allow over all VMs are 0.2 with a slack besides; this stays below both.
    static constexpr double RetriesPerRequest = 0.17;
    static constexpr double MaxAvailable = 4;
    double m_available = 2;
};

}
