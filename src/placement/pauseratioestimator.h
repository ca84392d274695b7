#pragma once

namespace cumindyke
{

/// How much longer than the mean pause between events the longest one of a stream gets, learned from ended streams of one service.
///
/// An engine reads new prompts between the steps of the streams that it runs, part by part, so the pauses of these grow up to a bound that depends
/// on its parts and steps. Both take a slow engine as many times as long, so one ratio holds for engines of all speeds.
class PauseRatioEstimator
{
public:
    void record(double meanMs, double longestPauseMs);
    /// Four of five streams stay below it; 0 while too few were seen.
    double ratio() const;

private:
    double m_ratio = 0;
    int m_streams = 0;
};

}
