#pragma once

#include "common/result.h"
#include "common/types.h"
#include "placement/placementtypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Opaque pass-through: callers' requests go by host and path to the upstreams of a service, unchanged.
namespace cumindyke
{

/// Handle of a request of this VM.
using LocalRequestId = Strong<struct LocalRequestIdTag, std::uint64_t>;

/// One page of the platform's list.
struct InstancePage
{
    std::vector<UpstreamInstance> instances;
    /// Entries that could not be read or name no usable upstream.
    std::size_t rejectedCount = 0;
    /// Asks for the page that follows; empty on the last one.
    std::string nextPageToken;
};

/// How the platform's list is asked for and read.
struct InstanceListProtocol
{
    Address address;
    /// Path and query of a page of the whole list, or of one data centre's part; the first has no token.
    std::function<std::string(const std::optional<DataCentreName> &dataCentre, std::string_view pageToken)> target;
    /// Error: Invalid, when the whole page can't be read.
    std::function<Result<InstancePage>(std::string_view body)> parse;
};

/// What the headers of callers and upstreams are called on this platform.
struct ProxyHeaders
{
    /// Made by the caller, one for each of its attempts; echoed by the upstream.
    std::string requestId;
    /// Milliseconds that the caller, or this system, goes on waiting.
    std::string deadlineMs;
    /// The caller's API key; never passed on.
    std::string apiKey;
    /// Name of the organisation that holds the key; set by this system only.
    std::string organisation;
    /// Name of the upstream process that may run the request; set by this system only.
    std::string expectedInstance;
    /// On an answer: an upstream's proof that it made it. A success without it was made by something else.
    std::string answerProof;
    /// On an answer: the upstream did not run the request.
    std::string notRun;
    /// "PROMPT,MOST OUTPUT" in tokens.
    std::string tokenCounts;
    /// Tokens that the caller expects in the answer.
    std::string expectedTokens;
    /// Id of the last event that the caller has of a stream.
    std::string lastEventId;
    /// Headers that only this system may set towards upstreams; dropped when a caller sends them.
    std::vector<std::string> reserved;
};

/// Status of an upstream that got a request meant for another process at its address.
constexpr int StatusMisdirected = 421;

}
