#pragma once

#include "placement/placementtypes.h"

#include "placement.pb.h"

#include <map>
#include <optional>

namespace cumindyke
{

/// One start of an upstream: a successor under the same name is another one.
struct UpstreamProcess
{
    InstanceName name;
    /// As in UpstreamInstance.
    std::int64_t startedAtMs = 0;

    auto operator<=>(const UpstreamProcess &) const = default;
};

inline UpstreamProcess processOf(const UpstreamInstance &instance)
{
    return UpstreamProcess{.name = instance.name, .startedAtMs = instance.startedAtMs};
}

/// What upstreams told one entry VM that they bear from now on: pauses, that they leave, and how many refusals they survive. Kept by the VM, which never
/// sends against it whatever its placement server grants, and written into its states until the server has confirmed them. Pure: time is an argument.
class UpstreamSignals
{
public:
    /// Records a pause. Returns whether it ends later than the one before.
    bool recordPause(const UpstreamProcess &upstream, Duration pause, TimePoint now);
    /// Records that this VM could not connect to the process: it is left alone for a while, longer with each further failure in a row.
    void recordUnreachable(const UpstreamProcess &upstream, TimePoint now);
    void recordReached(const UpstreamProcess &upstream);
    /// Records that the process is leaving. Returns whether that is new.
    bool recordLeaving(const UpstreamProcess &upstream, TimePoint now);
    /// Records how many refusals in a second the process survives. Returns whether that has changed.
    bool recordRefusalLimit(const UpstreamProcess &upstream, double perSecond, TimePoint now);
    /// Whether the process wants no request from this VM.
    bool isHeld(const UpstreamProcess &upstream, TimePoint now) const;
    /// Writes what the server did not confirm with a state up to "confirmedSequence" into the state.
    void write(v1::EntryState &state, std::uint64_t confirmedSequence, TimePoint now);
    /// Another server, or a restarted one, needs all signals.
    void resetConfirmed();

private:
    /// The least recently recorded is dropped beyond this number.
    static constexpr std::size_t MaxUpstreams = 1024;
    static constexpr Duration MinUnreachableTime = std::chrono::milliseconds(250);
    static constexpr Duration MaxUnreachableTime = std::chrono::seconds(4);
    /// Longer than any process takes to leave.
    static constexpr Duration LeavingTime = std::chrono::minutes(10);
    /// An unchanged refusal limit is reported again after this time, before servers forget it.
    static constexpr Duration RepeatTime = std::chrono::seconds(1);

    struct Signals
    {
        TimePoint pausedUntil{};
        Duration unreachableTime{};
        TimePoint leavingUntil{};
        std::optional<double> refusalLimit;
        TimePoint limitReportedAt{};
        TimePoint recordedAt{};
        /// Sequence number of the first state that contained them in their present form; 0: none yet.
        std::uint64_t firstSentInState = 0;
    };

    Signals &signalsOf(const UpstreamProcess &upstream, TimePoint now);
    bool markChanged(Signals &signals, bool hasChanged);

    std::map<UpstreamProcess, Signals> m_signals;
};

}
