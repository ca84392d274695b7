#pragma once

#include "bench/histogram.h"
#include "common/result.h"
#include "common/types.h"

#include <map>
#include <ostream>
#include <string>

namespace cumindyke
{

/// Options of `cumindyke-bench load`. The run ends when the request count or the duration is reached.
struct LoadOptions
{
    /// Target of the requests, from "http://HOST:PORT/PATH".
    Address address;
    std::string path = "/v1/completions";
    /// API key of an organisation; none is sent if empty.
    std::string apiKey;
    std::string body;
    std::uint64_t requests = 1000;
    Duration duration = std::chrono::seconds(10);
    /// Requests in flight in a closed loop.
    std::uint32_t concurrency = 16;
    /// Requests per second at equal intervals in an open loop, independent of the answers; 0 selects a closed loop. Requests beyond
    /// MaxInFlight are not sent but counted as skipped.
    double rate = 0;
};

struct LoadResult
{
    std::uint64_t sent = 0;
    std::uint64_t skipped = 0;
    std::map<int, std::uint64_t> statuses;
    std::uint64_t failed = 0;
    /// Requests still in flight when the run ended.
    std::uint64_t unfinished = 0;
    Histogram timeToFirstByte;
    /// Time to the end of the answer. In an open loop both times count from when the request was due, so that a stall of the daemon
    /// is included.
    Histogram totalTime;
    Duration elapsed{};
};

/// Parses the address and path of a daemon's URL. Error: BadRequest with the expected form.
Result<LoadOptions> parseLoadUrl(const std::string &url);

/// Runs in this thread until the request count or the duration is reached, then waits up to ten seconds for the requests in flight.
LoadResult runLoad(const LoadOptions &options);

void printLoad(std::ostream &out, const LoadResult &result, bool json);

}
