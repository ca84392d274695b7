#pragma once

#include "bench/histogram.h"
#include "common/result.h"
#include "common/types.h"

#include <map>
#include <ostream>
#include <string>

namespace cumindyke
{

/// How cumindyke-bench load drives a daemon. Both the count and the time bound it.
struct LoadOptions
{
    /// Where requests go: "http://HOST:PORT/PATH".
    Address address;
    std::string path = "/v1/completions";
    /// API key of an organisation; empty sends none.
    std::string key;
    std::string body;
    std::uint64_t requests = 1000;
    Duration duration = std::chrono::seconds(10);
    /// Closed loop: so many requests under way at once.
    std::uint32_t concurrency = 16;
    /// Open loop when above 0: so many requests a second at even distances, whatever the answers do. A request that would exceed
    /// MaxUnderWay is not sent but counted as skipped.
    double rate = 0;
};

struct LoadResult
{
    std::uint64_t sent = 0;
    std::uint64_t skipped = 0;
    std::map<int, std::uint64_t> statuses;
    std::uint64_t lost = 0;
    /// Not ended when the run was over.
    std::uint64_t unfinished = 0;
    Histogram firstByte;
    /// In an open loop from when the request was due, so that a stalled daemon can't hide its stall.
    Histogram whole;
    Duration took{};
};

/// Error: BadRequest, naming what is wrong with the URL.
Result<LoadOptions> parseLoadUrl(const std::string &url);

/// Runs in this thread until the count or the time is reached, and then up to ten seconds for answers that are under way.
LoadResult runLoad(const LoadOptions &options);

void printLoad(std::ostream &out, const LoadResult &result, bool json);

}
