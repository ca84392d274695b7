#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <map>
#include <set>

namespace cumindyke
{

/// The data centres whose upstreams get no new requests by an operator's order, as part of the replicated state. Pure and deterministic: the time is
/// the log's.
///
/// An order names the version of the configuration that was in force where it was received. Operators resend an order whose answer was lost, to any VM.
/// Without the version, a copy that a VM delivers late would evacuate a data centre whose evacuation has been ended in the meantime, or end a new one.
class Evacuations
{
public:
    /// Bounds the state; no platform has as many data centres.
    static constexpr std::size_t MaxDataCentres = 256;

    /// Applies an order; "nextVersion" is the version of the configuration if it is accepted. An order for what is in force already is accepted. The
    /// outcome is CONFLICT if the data centre was ordered otherwise after the order's base version; the reply's revision is then that order's version.
    v1::CommandReply apply(const v1::EvacuationOrder &order, std::uint64_t nextVersion, WallTime now);

    /// Every data centre that was ever evacuated.
    const std::map<DataCentreName, v1::Evacuation> &all() const
    {
        return m_evacuations;
    }
    /// The data centres that are evacuated now.
    std::set<DataCentreName> active() const;

    void writeTo(v1::StateSnapshot &snapshot) const;
    void readFrom(const v1::StateSnapshot &snapshot);

private:
    std::map<DataCentreName, v1::Evacuation> m_evacuations;
};

}
