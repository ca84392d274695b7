#pragma once

#include "common/types.h"

#include <algorithm>
#include <optional>

namespace cumindyke
{

/// The limit on its requests that an upstream names in its answers, as kept by one sender. Pure: time is an argument.
///
/// A limit holds for all senders together; each keeps to its "share", 0 to 1.
class RequestRate
{
public:
    /// Records the limit of an answer, in requests a second; no value: the answer names none. An older answer than the last one is ignored.
    void setLimit(std::optional<double> perSecond, TimePoint answeredAt, TimePoint now)
    {
        if (answeredAt < m_answeredAt) {
            return;
        }
        if (!m_perSecond) {
            m_level = 0;
            m_refilledAt = now;
        }
        m_perSecond = perSecond;
        m_answeredAt = answeredAt;
    }
    bool isLimited() const
    {
        return m_perSecond.has_value();
    }
    TimePoint answeredAt() const
    {
        return m_answeredAt;
    }
    bool maySend(double share, TimePoint now) const
    {
        return !m_perSecond || level(share, now) >= 1;
    }
    /// When the next request may be sent.
    TimePoint nextSendAt(double share, TimePoint now) const
    {
        if (maySend(share, now)) {
            return now;
        }
        const std::chrono::duration<double> wait((1 - level(share, now)) / std::max(rate(share), MinRate));
        return now + std::chrono::ceil<Duration>(wait);
    }
    void recordSent(double share, TimePoint now)
    {
        if (!m_perSecond) {
            return;
        }
        m_level = std::max(level(share, now) - 1, -std::max(1.0, rate(share)));
        m_refilledAt = now;
    }

private:
    /// Requests a second that a limited upstream gets at least: only its answers tell that the limit is lifted.
    static constexpr double MinRequestsPerSecond = 0.5;
    /// Requests that may be saved up, as a part of a second's rate. More would overrun the limit when a wave follows a pause.
    static constexpr double MaxSavedSeconds = 0.5;
    /// Keeps waiting times finite.
    static constexpr double MinRate = 1e-3;

    double rate(double share) const
    {
        return std::max(*m_perSecond, MinRequestsPerSecond) * share;
    }
    double level(double share, TimePoint now) const
    {
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        return std::min(m_level + rate(share) * seconds, std::max(1.0, MaxSavedSeconds * rate(share)));
    }

    std::optional<double> m_perSecond;
    TimePoint m_answeredAt{};
    /// Requests that may be sent; negative after requests that another sender placed.
    double m_level = 0;
    TimePoint m_refilledAt{};
};

}
