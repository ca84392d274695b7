#pragma once

#include "entry/exchange.h"
#include "entry/suspecttracker.h"
#include "placement/requestqueue.h"
#include "proxy/attempts.h"
#include "proxy/eventsplitter.h"
#include "proxy/proxytypes.h"
#include "proxy/routeindex.h"
#include "relay/processwatch.h"
#include "upstream/secondanswer.h"
#include "upstream/upstreamcall.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cumindyke
{

/// A caller's request, parsed and validated.
struct ParsedRequest
{
    RequestId id;
    /// Keeps the route alive.
    std::shared_ptr<const RouteIndex> routes;
    const v1::Route *route = nullptr;
    ServiceName service;
    /// Empty on a route that is open to all.
    OrganisationName organisation;
    PriorityRank rank;
    /// Prompt tokens; 0: a plain request.
    std::uint32_t promptTokens = 0;
    /// Expected number of events in a model engine's answer; 0: unknown.
    std::uint32_t expectedEvents = 0;
    /// As the caller lists them; empty: a plain request.
    std::string promptParts;
    /// The regions whose upstreams may run it; none: all.
    std::optional<std::set<RegionName>> homeRegions;
    /// Charged on the organisation's limit, in tokens or requests.
    std::uint64_t cost = 0;
    TimePoint arrived;
    /// The caller's deadline or the route's timeout, whichever is earlier.
    TimePoint deadline;
    /// Until when an answer (a stream's first event) is on time.
    TimePoint objectiveAt;
};

/// The state of one caller's request during its lifecycle, from admission to the final answer.
struct ProxyRequest
{
    ProxyRequest(LocalRequestId localId, ParsedRequest parsedRequest, std::shared_ptr<Exchange> caller)
        : localId(localId)
        , parsed(std::move(parsedRequest))
        , exchange(std::move(caller))
        , attempts(parsed.route->kind(), parsed.route->max_attempts())
    {
    }

    bool isStream() const
    {
        return parsed.route->kind() == v1::STREAMING || parsed.route->kind() == v1::RESUMABLE_STREAMING;
    }
    bool isResumable() const
    {
        return parsed.route->kind() == v1::RESUMABLE_STREAMING;
    }

    /// Whether another upstream's answer can be joined to what the caller has of the first one.
    bool mayContinue() const
    {
        return !headForwarded || (isResumable() && eventsForwarded && eventSplitter.canResume());
    }
    /// Bytes of the answer that are held back from the caller.
    std::size_t heldBytes() const
    {
        return bufferedBody.size() + eventSplitter.partialBytes() + (secondAnswer ? secondAnswer->heldBytes() : 0);
    }

    RequestContent content() const
    {
        return RequestContent{.organisation = parsed.organisation.value,
                              .method = exchange->method(),
                              .host = parsed.route->host(),
                              .target = exchange->target(),
                              .body = exchange->body(),
                              .service = parsed.service.value,
                              .promptFormat = PromptFormat::PartList,
                              .prompt = parsed.promptParts};
    }

    const LocalRequestId localId;
    const ParsedRequest parsed;
    std::shared_ptr<Exchange> exchange;
    Attempts attempts;
    std::set<InstanceName> tried;
    /// Of the current attempt.
    PlacementId placementId{};
    /// The placement server wants the pace of the first events to be reported.
    bool paceWanted = false;

    SuspectState suspectState;

    /// The current call to the upstream; null while the request waits for a slot.
    std::unique_ptr<UpstreamCall> call;
    UpstreamInstance upstream;
    /// The VM that opens the connection for the current call; none: it goes to the upstream directly.
    std::optional<VmName> relay;
    TimePoint sentAt;
    AnswerHead answerHead;
    /// The answer's body, buffered until it is known to be complete.
    std::string bufferedBody;
    /// The answer's head was sent to the caller and can no longer be changed.
    bool headForwarded = false;
    /// The head that was sent to the caller is that of a successful event stream.
    bool eventsForwarded = false;
    EventSplitter eventSplitter;
    /// Set while the answer ends only with its connection.
    std::optional<SecondAnswer> secondAnswer;
    /// Of the current call; null if its answer has a length or chunks, or none without them was expected.
    std::shared_ptr<ProcessWatch> processWatch;
    /// What was found at the end of an unframed answer; empty: no answer without a length or chunks came to its end.
    std::string endCheck;
    /// Measure the pace of the upstream.
    TimePoint firstEventAt;
    TimePoint lastEventAt;
    std::uint32_t eventBatches = 0;
    Duration longestPause{};
    /// Fires at the deadline.
    std::unique_ptr<Timer> deadlineTimer;
};

}
