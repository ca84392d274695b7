#pragma once

#include "common/types.h"

#include <algorithm>
#include <optional>

namespace cumindyke
{

/// Estimates how long requests of one kind take, from the answers so far.
class AnswerTime
{
public:
    /// "took": from the sending of a request to the end of its answer.
    void record(Duration took)
    {
        if (!m_mean) {
            m_mean = took;
            m_deviation = took / 2;
            return;
        }
        const Duration difference = took - *m_mean;
        m_deviation += (std::max<Duration>(difference, -difference) - m_deviation) / DeviationWeight;
        *m_mean += difference / MeanWeight;
    }
    /// Few requests take longer than this; none: there was no answer yet.
    std::optional<Duration> upperEstimate() const
    {
        return m_mean ? std::optional<Duration>(*m_mean + Deviations * m_deviation) : std::nullopt;
    }

private:
    /// As in RFC 6298, which estimates round trips.
    static constexpr int MeanWeight = 8;
    static constexpr int DeviationWeight = 4;
    static constexpr int Deviations = 4;
    std::optional<Duration> m_mean;
    Duration m_deviation{};
};

}
