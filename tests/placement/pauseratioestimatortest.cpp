#include "placement/pauseratioestimator.h"

#include <catch2/catch.hpp>

using namespace cumindyke;

TEST_CASE("the pause ratio is one that most streams stay below")
{
    PauseRatioEstimator estimator;
    CHECK(estimator.ratio() == 0);
    for (int i = 0; i < 1000; ++i) {
        // Ratios 1 to 10, equally often.
        estimator.record(20, 20.0 * (1 + i * 7 % 10));
    }
    CHECK(estimator.ratio() > 6.5);
    CHECK(estimator.ratio() < 10);
}

TEST_CASE("streams without a mean pause, or too few streams, give no ratio")
{
    PauseRatioEstimator estimator;
    for (int i = 0; i < 100; ++i) {
        estimator.record(0, 50);
    }
    CHECK(estimator.ratio() == 0);
    for (int i = 0; i < 10; ++i) {
        estimator.record(20, 60);
    }
    CHECK(estimator.ratio() == 0);
}

// Engines change: they load another model, or other prompts are processed beside the streams.
TEST_CASE("the ratio adapts to engines that pause longer than before")
{
    PauseRatioEstimator estimator;
    for (int i = 0; i < 200; ++i) {
        estimator.record(20, 40);
    }
    CHECK(estimator.ratio() == Approx(2).epsilon(0.1));
    for (int i = 0; i < 200; ++i) {
        estimator.record(20, 120);
    }
    CHECK(estimator.ratio() == Approx(6).epsilon(0.1));
}
