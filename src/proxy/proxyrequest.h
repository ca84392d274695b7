#pragma once

#include "entry/exchange.h"
#include "placement/requestqueue.h"
#include "proxy/attempts.h"
#include "proxy/eventsplitter.h"
#include "proxy/proxytypes.h"
#include "proxy/routeindex.h"
#include "upstream/upstreamcall.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cumindyke
{

/// What a caller asked for, read and checked.
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
    /// Prompt tokens to read; 0: a plain request.
    std::uint32_t promptTokens = 0;
    /// Events that the answer of a model engine is likely to have; 0: not known.
    std::uint32_t expectedEvents = 0;
    /// What it takes of its organisation's limit.
    std::uint64_t cost = 0;
    TimePoint arrived;
    /// The caller's deadline or the route's timeout, whichever comes first.
    TimePoint deadline;
    /// Until when an answer (a stream's first event) is on time.
    TimePoint objectiveAt;
};

/// One caller's request from its admission to its end: where it is, and what was sent.
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

    const LocalRequestId localId;
    const ParsedRequest parsed;
    std::shared_ptr<Exchange> exchange;
    Attempts attempts;
    std::set<InstanceName> tried;
    /// Of the try under way.
    PlacementId placementId{};
    /// Who placed it wants to hear how fast the upstream makes the first events.
    bool paceWanted = false;

    /// The sending under way; null while it waits.
    std::unique_ptr<UpstreamCall> call;
    UpstreamInstance upstream;
    TimePoint sentAt;
    AnswerHead answerHead;
    /// The answer's body while it is gathered, until it is known to be whole.
    std::string bufferedBody;
    /// The caller has the head of the answer: it can no longer be changed.
    bool headForwarded = false;
    EventSplitter eventSplitter;
    /// For the pace of the upstream.
    TimePoint firstEventAt;
    TimePoint lastEventAt;
    std::uint32_t eventBatches = 0;
    Duration longestPause{};
    /// Fires at deadline.
    std::unique_ptr<Timer> deadlineTimer;
};

}
