#pragma once

#include "placement/placementtypes.h"

#include "placement.pb.h"

#include <map>
#include <optional>

namespace cumindyke
{

/// The request limits that upstreams named in their answers to one entry VM, for its placement server. Each is sent until the server confirmed it, and to
/// each further server, so that a lost datagram or a change of servers loses none. Pure: time is an argument.
class NamedLimits
{
public:
    /// Records the limit of a newly received answer; no value: the answer names none. Returns whether the limit has changed.
    bool record(const InstanceName &upstream, std::optional<double> perSecond, TimePoint now);
    std::optional<double> find(const InstanceName &upstream) const;
    /// Writes what the server did not confirm with a state up to "confirmedSequence" into the state.
    void write(v1::EntryState &state, std::uint64_t confirmedSequence, TimePoint now);
    /// Another server, or a restarted one, needs all limits.
    void resetConfirmed();

private:
    /// The least recently named is dropped beyond this number.
    static constexpr std::size_t MaxLimits = 256;
    /// An unchanged limit is reported again after this time, in case another VM's older report arrived later.
    static constexpr Duration RepeatTime = std::chrono::milliseconds(500);

    struct Limit
    {
        std::optional<double> perSecond;
        TimePoint answeredAt;
        TimePoint reportedAt;
        /// Sequence number of the first state that contained it; 0: none yet.
        std::uint64_t firstSentInState = 0;
    };

    std::map<InstanceName, Limit> m_limits;
};

}
