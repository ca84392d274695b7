#pragma once

#include "common/types.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cumindyke
{

/// Speed and capacity of an engine.
struct EngineSpeed
{
    /// Minimum duration of a step of the batch.
    Duration stepBase = std::chrono::milliseconds(12);
    /// Time added for each sequence that decodes in the step.
    Duration stepPerSequence = std::chrono::microseconds(250);
    /// Time added for each prompt token that the step prefills.
    Duration prefillPerToken = std::chrono::microseconds(40);
    /// Maximum number of prompt tokens prefilled in one step (chunked prefill).
    std::uint32_t prefillChunk = 512;
    std::uint32_t maxBatch = 32;
    /// Capacity of the prefix cache in prompt tokens.
    std::uint64_t cacheTokens = 64'000;
    /// Age of a load report when it is read.
    Duration reportLag = std::chrono::milliseconds(500);
    /// Delay until a cache event becomes visible.
    Duration cacheEventLag = std::chrono::milliseconds(800);
    /// Every cacheEventGapInterval-th cache event is lost (0: none).
    std::uint32_t cacheEventGapInterval = 50;
};

struct EngineRequest
{
    RequestId id;
    TokenCount prompt;
    /// Length of the prompt's prefix that other requests with the same prefix id share.
    TokenCount sharedPrefix;
    std::uint64_t prefix = 0;
    TokenCount answer;
};

/// A generated token or the end of a sequence.
struct EngineEvent
{
    enum class Kind { Token, Finished };
    Kind kind = Kind::Token;
    RequestId id;
    /// Position of the token in the answer, from 0.
    std::uint32_t index = 0;
    TimePoint at;
};

struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt tokens to be prefilled and answer tokens to be generated, of running and waiting requests.
    std::uint64_t pendingTokens = 0;
    TimePoint at;
    /// Answer tokens generated since the engine started.
    std::uint64_t generatedTokens = 0;
    /// Prompt tokens of running sequences that are not prefilled yet.
    std::uint64_t pendingPrefill = 0;
};

struct CacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
    bool stored = false;
    TimePoint visibleAt;
};

/// Simulates a model engine in virtual or real time, for the experiments and the tests' fake upstream.
///
/// Modelled: continuous batching in steps, chunked prefill that slows decoding, first-come admission without priorities, a prefix
/// cache with least-recently-used eviction, delayed load reports, delayed cache events with gaps, a slowdown factor for slow engines.
/// Not modelled: memory for key-value blocks (maxBatch limits the batch instead), preemption, speculative decoding, several accelerators.
class EngineModel
{
public:
    explicit EngineModel(EngineSpeed speed);

    void submit(const EngineRequest &request, TimePoint now);
    void cancel(const RequestId &id);
    /// Completes the steps that end by `now` and returns their events in order.
    std::vector<EngineEvent> advance(TimePoint now);
    /// Returns the time of the next possible event, or none while the engine is idle.
    std::optional<TimePoint> nextEventAt() const;
    /// Sets the factor on the duration of steps: 1 is the normal speed, 2 is twice as slow.
    void setSlowness(double factor);

    /// Returns the load that a report read now shows, which is reportLag old.
    EngineLoad reportedLoad(TimePoint now) const;
    /// Returns the present load.
    EngineLoad load(TimePoint now) const;
    bool isCached(std::uint64_t prefix) const;
    /// Returns the visible events after a sequence number, with gaps where events were lost.
    std::vector<CacheEvent> cacheEvents(std::uint64_t after, TimePoint now) const;
    std::uint64_t prefilledTokens() const
    {
        return m_prefilledTokens;
    }

private:
    struct Sequence
    {
        EngineRequest request;
        std::uint32_t remainingPrefill = 0;
        std::uint32_t generated = 0;
    };

    void admitWaiting(TimePoint now);
    void planStep(TimePoint now);
    void finishStep(std::vector<EngineEvent> &events);
    void updateCache(const EngineRequest &request, TimePoint now);
    void recordCacheEvent(std::uint64_t prefix, bool stored, TimePoint now);
    void recordLoad(TimePoint now);

    EngineSpeed m_speed;
    double m_slowness = 1;
    std::deque<Sequence> m_waiting;
    std::vector<Sequence> m_running;
    std::optional<TimePoint> m_stepEndsAt;
    /// Prompt tokens that each running sequence prefills in the present step.
    std::vector<std::uint32_t> m_stepPrefill;
    std::uint64_t m_prefilledTokens = 0;
    std::uint64_t m_generatedTokens = 0;

    struct CachedPrefix
    {
        std::uint64_t prefix;
        std::uint32_t tokens;
    };
    /// Most recently used first.
    std::list<CachedPrefix> m_cacheByRecency;
    std::unordered_map<std::uint64_t, std::list<CachedPrefix>::iterator> m_cache;
    std::uint64_t m_cachedTokens = 0;
    std::deque<CacheEvent> m_cacheEvents;
    std::uint64_t m_lastCacheSequence = 0;
    std::deque<EngineLoad> m_loadHistory;
};

}
