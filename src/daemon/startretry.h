#pragma once

#include "common/eventloop.h"
#include "common/result.h"

namespace cumindyke
{

/// Decides whether a daemon that could not start tries again: an address or a data folder is still in use by the process before it, or the disk takes no
/// writes. Without it, each restart of the process would end in the same way.
class StartRetry
{
public:
    static constexpr Duration Interval = std::chrono::milliseconds(100);
    /// For an address or a folder in use. An operator who has started two daemons with the same settings is told after this time.
    static constexpr Duration MaxWait = std::chrono::seconds(10);

    explicit StartRetry(TimePoint now)
        : m_startedAt(now)
    {
    }

    bool mayRetry(const Error &error, TimePoint now)
    {
        const bool isBusy = error.kind == ErrorKind::Unavailable && now - m_startedAt < MaxWait;
        if (!isBusy && error.kind != ErrorKind::StorageFull) {
            return false;
        }
        ++m_retries;
        return true;
    }
    /// Whether the last retry is the first.
    bool isFirst() const
    {
        return m_retries == 1;
    }

private:
    const TimePoint m_startedAt;
    int m_retries = 0;
};

}
