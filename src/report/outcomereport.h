#pragma once

#include "policy/outcomecounters.h"

#include "report.pb.h"

/// Between the counters of an entry VM and their form on the wire.
namespace cumindyke
{

v1::OutcomeReport toWire(const VmName &vm, const std::string &incarnation, std::uint64_t sequence, const OutcomeMap &counts);
OutcomeMap fromWire(const v1::OutcomeReport &report);

}
