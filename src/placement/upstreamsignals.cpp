#include "placement/upstreamsignals.h"

#include <algorithm>

namespace cumindyke
{

UpstreamSignals::Signals &UpstreamSignals::signalsOf(const UpstreamProcess &upstream, TimePoint now)
{
    if (!m_signals.contains(upstream) && m_signals.size() >= MaxUpstreams) {
        m_signals.erase(std::ranges::min_element(m_signals, {}, [](const auto &pair) { return pair.second.recordedAt; }));
    }
    Signals &signals = m_signals[upstream];
    signals.recordedAt = now;
    return signals;
}

bool UpstreamSignals::markChanged(Signals &signals, bool hasChanged)
{
    signals.firstSentInState = hasChanged ? 0 : signals.firstSentInState;
    return hasChanged;
}

bool UpstreamSignals::recordPause(const UpstreamProcess &upstream, Duration pause, TimePoint now)
{
    Signals &signals = signalsOf(upstream, now);
    const bool isLater = now + pause > signals.pausedUntil;
    signals.pausedUntil = std::max(signals.pausedUntil, now + pause);
    return markChanged(signals, isLater);
}

void UpstreamSignals::recordUnreachable(const UpstreamProcess &upstream, TimePoint now)
{
    Signals &signals = signalsOf(upstream, now);
    signals.unreachableTime = std::clamp<Duration>(2 * signals.unreachableTime, MinUnreachableTime, MaxUnreachableTime);
    recordPause(upstream, signals.unreachableTime, now);
}

void UpstreamSignals::recordReached(const UpstreamProcess &upstream)
{
    if (const auto found = m_signals.find(upstream); found != m_signals.end()) {
        found->second.unreachableTime = {};
    }
}

bool UpstreamSignals::recordLeaving(const UpstreamProcess &upstream, TimePoint now)
{
    Signals &signals = signalsOf(upstream, now);
    const bool isNew = signals.leavingUntil <= now;
    signals.leavingUntil = now + LeavingTime;
    return markChanged(signals, isNew);
}

bool UpstreamSignals::recordRefusalLimit(const UpstreamProcess &upstream, double perSecond, TimePoint now)
{
    Signals &signals = signalsOf(upstream, now);
    const bool hasChanged = signals.refusalLimit != perSecond;
    if (hasChanged || now - signals.limitReportedAt >= RepeatTime) {
        signals.limitReportedAt = now;
        markChanged(signals, true);
    }
    signals.refusalLimit = perSecond;
    return hasChanged;
}

bool UpstreamSignals::isHeld(const UpstreamProcess &upstream, TimePoint now) const
{
    const auto found = m_signals.find(upstream);
    return found != m_signals.end() && (now < found->second.pausedUntil || now < found->second.leavingUntil);
}

void UpstreamSignals::write(v1::EntryState &state, std::uint64_t confirmedSequence, TimePoint now)
{
    std::erase_if(m_signals, [now](const auto &pair) {
        const Signals &signals = pair.second;
        // A process that is tried again and still can't be reached is left alone for longer than before.
        return now >= signals.pausedUntil + signals.unreachableTime && now >= signals.leavingUntil && now - signals.limitReportedAt >= 2 * RepeatTime;
    });
    for (auto &[upstream, signals] : m_signals) {
        if (signals.firstSentInState > 0 && signals.firstSentInState <= confirmedSequence) {
            continue;
        }
        signals.firstSentInState = signals.firstSentInState > 0 ? signals.firstSentInState : state.sequence();
        v1::UpstreamSignal &message = *state.add_signals();
        message.set_upstream(upstream.name.value);
        message.set_started_at_ms(upstream.startedAtMs);
        message.set_pause_ms(wireMilliseconds(signals.pausedUntil - now));
        message.set_leaving(now < signals.leavingUntil);
        if (signals.refusalLimit && now - signals.limitReportedAt < 2 * RepeatTime) {
            message.set_refusal_limit(*signals.refusalLimit);
        }
    }
}

void UpstreamSignals::resetConfirmed()
{
    for (auto &[upstream, signals] : m_signals) {
        signals.firstSentInState = 0;
    }
}

}
