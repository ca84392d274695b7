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

/// How fast an engine is and what it can hold.
struct EngineSpeed
{
    /// Every step of the batch takes at least this long.
    Duration stepBase = std::chrono::milliseconds(12);
    /// Added for each sequence that decodes in the step.
    Duration stepPerSequence = std::chrono::microseconds(250);
    /// Added for each prompt token that the step prefills.
    Duration prefillPerToken = std::chrono::microseconds(40);
    /// Prompt tokens prefilled in one step at most (chunked prefill).
    std::uint32_t prefillChunk = 512;
    std::uint32_t maxBatch = 32;
    /// Prompt tokens that the prefix cache holds.
    std::uint64_t cacheTokens = 64'000;
    /// Reports of load are this old when they are read.
    Duration reportLag = std::chrono::milliseconds(500);
    /// Cache events appear this late; one in gapEvery is lost (0: none).
    Duration cacheEventLag = std::chrono::milliseconds(800);
    std::uint32_t gapEvery = 50;
};

struct EngineRequest
{
    RequestId id;
    TokenCount prompt;
    /// Tokens of the prompt that other requests with the same prefix share.
    TokenCount sharedPrefix;
    std::uint64_t prefix = 0;
    TokenCount answer;
};

/// What a sequence did in a step.
struct EngineEvent
{
    enum class Kind { Token, Finished };
    Kind kind = Kind::Token;
    RequestId id;
    /// 0 for the first token.
    std::uint32_t index = 0;
    TimePoint at;
};

struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt and answer tokens still to be made.
    std::uint64_t pendingTokens = 0;
    TimePoint at;
    /// Answer tokens made since the engine started.
    std::uint64_t generatedTokens = 0;
    /// Prompt tokens of running sequences still to be prefilled.
    std::uint64_t pendingPrefill = 0;
};

struct CacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
    bool stored = false;
    TimePoint visibleAt;
};

/// A model engine, in virtual or real time: the experiments and the stand-in use the same class.
///
/// Modelled: continuous batching in steps, chunked prefill that slows decoding, first-come admission without priorities, a prefix
/// cache with least-recently-used eviction, load reports with a lag, cache events late and with gaps, a speed factor for slow engines.
/// Not modelled: memory for key-value blocks (maxBatch stands for it), preemption, speculative decoding, several accelerators.
class EngineModel
{
public:
    explicit EngineModel(EngineSpeed speed);

    void submit(const EngineRequest &request, TimePoint now);
    void cancel(const RequestId &id);
    /// All events up to now, in order. Steps begin when there is work.
    std::vector<EngineEvent> advance(TimePoint now);
    /// When the next event may come; none while idle.
    std::optional<TimePoint> nextEventAt() const;
    /// 1 is the normal speed, 2 is twice as slow.
    void setSlowness(double factor);

    /// The load as a report read now shows it: lagging.
    EngineLoad reportedLoad(TimePoint now) const;
    /// The load as it is.
    EngineLoad load(TimePoint now) const;
    bool cached(std::uint64_t prefix) const;
    /// Events after a sequence number that can be seen now, with gaps where events were lost.
    std::vector<CacheEvent> cacheEvents(std::uint64_t after, TimePoint now) const;
    std::uint64_t prefilledTokens() const
    {
        return m_prefilledTokens;
    }

private:
    struct Sequence
    {
        EngineRequest request;
        std::uint32_t prefillLeft = 0;
        std::uint32_t made = 0;
    };

    void admitWaiting(TimePoint now);
    void planStep(TimePoint now);
    void finishStep(std::vector<EngineEvent> &events);
    void touchCache(const EngineRequest &request, TimePoint now);
    void noteCacheEvent(std::uint64_t prefix, bool stored, TimePoint now);
    void noteLoad(TimePoint now);

    EngineSpeed m_speed;
    double m_slowness = 1;
    std::deque<Sequence> m_waiting;
    std::vector<Sequence> m_running;
    std::optional<TimePoint> m_stepEnd;
    /// Prompt tokens each running sequence prefills in the present step.
    std::vector<std::uint32_t> m_stepPrefill;
    std::uint64_t m_prefilledTokens = 0;
    std::uint64_t m_generatedTokens = 0;

    struct CachedPrefix
    {
        std::uint64_t prefix;
        std::uint32_t tokens;
    };
    /// Most recently used first.
    std::list<CachedPrefix> m_cacheOrder;
    std::unordered_map<std::uint64_t, std::list<CachedPrefix>::iterator> m_cache;
    std::uint64_t m_cachedTokens = 0;
    std::deque<CacheEvent> m_cacheEvents;
    std::uint64_t m_cacheSequence = 0;
    std::deque<EngineLoad> m_loads;
};

}
