#pragma once

#include "common/result.h"
#include "common/types.h"
#include "placement/placementtypes.h"
#include "upstream/answersignals.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The reverse proxy: forwards callers' requests unchanged to the upstreams of the service that host and path select.
namespace cumindyke
{

/// Identifies a request within this process.
using LocalRequestId = Strong<struct LocalRequestIdTag, std::uint64_t>;

/// One page of the platform's list.
struct InstancePage
{
    std::vector<UpstreamInstance> instances;
    /// For each entry that could not be parsed or does not name a usable upstream: what it is and why. Short and printable.
    std::vector<std::string> rejected;
    /// Token of the next page; empty on the last page.
    std::string nextPageToken;
};

/// How the platform's list is requested and parsed.
struct InstanceListProtocol
{
    Address address;
    /// Path and query of a page of the whole list, or of one data centre's part. The token of the first page is empty.
    std::function<std::string(const std::optional<DataCentreName> &dataCentre, std::string_view pageToken)> target;
    /// Error: Invalid, if the page can't be split into its entries, or does not say which page follows.
    std::function<Result<InstancePage>(std::string_view body)> parse;
};

/// Names of the headers on this platform.
struct ProxyHeaders
{
    /// Id of the request, created by the caller anew for each of its attempts; echoed by the upstream.
    std::string requestId;
    /// Milliseconds until the caller, or this system, stops waiting.
    std::string deadlineMs;
    /// The caller's API key; never forwarded.
    std::string apiKey;
    /// Name of the organisation that the key belongs to; only set by this system.
    std::string organisation;
    /// Name of the upstream process that may run the request; only set by this system.
    std::string expectedInstance;
    /// On an answer to a health check: name of the upstream process.
    std::string instance;
    /// On an answer: proof that the upstream made it. A success without it was made by something else.
    std::string answerProof;
    /// On an answer: the upstream did not run the request.
    std::string notRun;
    /// On an answer: requests a second that the upstream takes from all VMs together.
    std::string requestLimit;
    /// On an answer: what the upstream says of itself.
    SignalHeaders signals;
    /// "PROMPT,MAXIMUM OUTPUT" in tokens.
    std::string tokenCounts;
    /// Number of tokens that the caller expects in the answer.
    std::string expectedTokens;
    /// The parts of the prompt, in the format PromptFormat::PartList.
    std::string promptParts;
    /// Id of the last event of a stream that the caller has received.
    std::string lastEventId;
    /// Headers to upstreams that only this system may set; dropped from callers' requests.
    std::vector<std::string> reserved;
};

/// What settings, or a platform's terms, switch on.
struct ProxyFeatures
{
    PlacementFeatures placement;
    /// A part of the VM's memory bounds all bytes that were read and not passed on yet.
    bool boundedBuffers = false;
};

/// Status of an upstream that received a request meant for another process at its address.
constexpr int StatusMisdirected = 421;

}
