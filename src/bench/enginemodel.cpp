#include "bench/enginemodel.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

constexpr std::size_t MaxCacheEvents = 4096;
constexpr std::size_t MaxLoadRecords = 4096;
constexpr Duration LoadRecordInterval = std::chrono::milliseconds(20);

}

EngineModel::EngineModel(EngineSpeed speed)
    : m_speed(speed)
{
}

void EngineModel::submit(const EngineRequest &request, TimePoint now)
{
    m_waiting.push_back(Sequence{.request = request, .remainingPrefill = 0, .generated = 0});
    if (!m_stepEndsAt) {
        planStep(now);
    }
}

void EngineModel::cancel(const RequestId &id)
{
    std::erase_if(m_waiting, [&id](const Sequence &sequence) { return sequence.request.id == id; });
    for (std::size_t i = 0; i < m_running.size(); ++i) {
        if (m_running[i].request.id != id) {
            continue;
        }
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
        m_stepPrefill.erase(m_stepPrefill.begin() + static_cast<std::ptrdiff_t>(i));
        return;
    }
}

std::vector<EngineEvent> EngineModel::advance(TimePoint now)
{
    std::vector<EngineEvent> events;
    while (m_stepEndsAt && *m_stepEndsAt <= now) {
        const TimePoint end = *m_stepEndsAt;
        finishStep(events);
        m_stepEndsAt.reset();
        planStep(end);
    }
    return events;
}

std::optional<TimePoint> EngineModel::nextEventAt() const
{
    return m_stepEndsAt;
}

void EngineModel::setSlowness(double factor)
{
    m_slowness = factor;
}

/// Plans the next step. Step 1. Admits waiting requests in order of arrival while the batch has free slots. Step 2. Divides the prefill budget
/// among the sequences that need it, in order. Step 3. Computes the duration of the step from its decoding and prefill.
void EngineModel::planStep(TimePoint now)
{
    admitWaiting(now);
    if (m_running.empty()) {
        return;
    }
    std::uint32_t prefillBudget = m_speed.prefillChunk;
    std::uint32_t prefill = 0;
    std::uint32_t decoding = 0;
    m_stepPrefill.assign(m_running.size(), 0);
    for (std::size_t i = 0; i < m_running.size(); ++i) {
        if (m_running[i].remainingPrefill == 0) {
            ++decoding;
            continue;
        }
        m_stepPrefill[i] = std::min(m_running[i].remainingPrefill, prefillBudget);
        prefillBudget -= m_stepPrefill[i];
        prefill += m_stepPrefill[i];
    }
    const Duration work = m_speed.stepBase + m_speed.stepPerSequence * decoding + m_speed.prefillPerToken * prefill;
    m_stepEndsAt = now + Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * m_slowness));
    recordLoad(now);
}

void EngineModel::admitWaiting(TimePoint now)
{
    while (!m_waiting.empty() && m_running.size() < m_speed.maxBatch) {
        Sequence sequence = std::move(m_waiting.front());
        m_waiting.pop_front();
        const EngineRequest &request = sequence.request;
        const std::uint32_t cachedTokens = isCached(request.prefix) ? std::min(request.sharedPrefix.value, request.prompt.value) : 0;
        // The last prompt token is always computed, since its logits give the answer's first token.
        sequence.remainingPrefill = std::max<std::uint32_t>(request.prompt.value - cachedTokens, 1);
        m_prefilledTokens += sequence.remainingPrefill;
        updateCache(request, now);
        m_running.push_back(std::move(sequence));
    }
}

void EngineModel::finishStep(std::vector<EngineEvent> &events)
{
    const TimePoint end = *m_stepEndsAt;
    std::vector<Sequence> stillRunning;
    stillRunning.reserve(m_running.size());
    for (std::size_t i = 0; i < m_running.size(); ++i) {
        Sequence &sequence = m_running[i];
        const bool wasPrefilling = sequence.remainingPrefill > 0;
        sequence.remainingPrefill -= m_stepPrefill[i];
        if (wasPrefilling && sequence.remainingPrefill > 0) {
            stillRunning.push_back(std::move(sequence));
            continue;
        }
        events.push_back(EngineEvent{.kind = EngineEvent::Kind::Token, .id = sequence.request.id, .index = sequence.generated, .at = end});
        ++sequence.generated;
        ++m_generatedTokens;
        if (sequence.generated >= sequence.request.answer.value) {
            events.push_back(EngineEvent{.kind = EngineEvent::Kind::Finished, .id = sequence.request.id, .index = sequence.generated, .at = end});
            continue;
        }
        stillRunning.push_back(std::move(sequence));
    }
    m_running.swap(stillRunning);
}

EngineLoad EngineModel::load(TimePoint now) const
{
    EngineLoad load{
        .running = static_cast<std::uint32_t>(m_running.size()),
        .waiting = static_cast<std::uint32_t>(m_waiting.size()),
        .pendingTokens = 0,
        .at = now,
        .generatedTokens = m_generatedTokens,
    };
    for (const Sequence &sequence : m_running) {
        load.pendingPrefill += sequence.remainingPrefill;
        load.pendingTokens += sequence.remainingPrefill + sequence.request.answer.value - sequence.generated;
    }
    for (const Sequence &sequence : m_waiting) {
        load.pendingTokens += sequence.request.prompt.value + sequence.request.answer.value;
    }
    return load;
}

void EngineModel::recordLoad(TimePoint now)
{
    if (!m_loadHistory.empty() && now - m_loadHistory.back().at < LoadRecordInterval) {
        return;
    }
    m_loadHistory.push_back(load(now));
    if (m_loadHistory.size() > MaxLoadRecords) {
        m_loadHistory.pop_front();
    }
}

EngineLoad EngineModel::reportedLoad(TimePoint now) const
{
    const TimePoint reportedAt = now - m_speed.reportLag;
    const auto firstNewer = std::ranges::upper_bound(m_loadHistory, reportedAt, {}, &EngineLoad::at);
    return firstNewer == m_loadHistory.begin() ? EngineLoad{.running = 0, .waiting = 0, .pendingTokens = 0, .at = reportedAt} : *std::prev(firstNewer);
}

bool EngineModel::isCached(std::uint64_t prefix) const
{
    return m_cache.contains(prefix);
}

void EngineModel::updateCache(const EngineRequest &request, TimePoint now)
{
    const auto cachedEntry = m_cache.find(request.prefix);
    if (cachedEntry != m_cache.end()) {
        m_cacheByRecency.splice(m_cacheByRecency.begin(), m_cacheByRecency, cachedEntry->second);
        return;
    }
    if (request.sharedPrefix.value == 0 || request.sharedPrefix.value > m_speed.cacheTokens) {
        return;
    }
    m_cacheByRecency.push_front(CachedPrefix{.prefix = request.prefix, .tokens = request.sharedPrefix.value});
    m_cache.emplace(request.prefix, m_cacheByRecency.begin());
    m_cachedTokens += request.sharedPrefix.value;
    recordCacheEvent(request.prefix, true, now);
    while (m_cachedTokens > m_speed.cacheTokens) {
        const CachedPrefix evicted = m_cacheByRecency.back();
        m_cacheByRecency.pop_back();
        m_cache.erase(evicted.prefix);
        m_cachedTokens -= evicted.tokens;
        recordCacheEvent(evicted.prefix, false, now);
    }
}

void EngineModel::recordCacheEvent(std::uint64_t prefix, bool stored, TimePoint now)
{
    ++m_lastCacheSequence;
    if (m_speed.cacheEventGapInterval > 0 && m_lastCacheSequence % m_speed.cacheEventGapInterval == 0) {
        return;
    }
    m_cacheEvents.push_back(CacheEvent{.sequence = m_lastCacheSequence, .prefix = prefix, .stored = stored, .visibleAt = now + m_speed.cacheEventLag});
    if (m_cacheEvents.size() > MaxCacheEvents) {
        m_cacheEvents.pop_front();
    }
}

std::vector<CacheEvent> EngineModel::cacheEvents(std::uint64_t after, TimePoint now) const
{
    std::vector<CacheEvent> visible;
    for (const CacheEvent &event : m_cacheEvents) {
        if (event.sequence > after && event.visibleAt <= now) {
            visible.push_back(event);
        }
    }
    return visible;
}

}
