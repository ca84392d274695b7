#pragma once

#include "policy/outcomecounters.h"

#include "report.pb.h"

/// Conversions between the outcome counters of an entry VM and their protobuf message.
namespace cumindyke
{

v1::OutcomeReport toWire(const VmName &vm, const std::string &incarnation, std::uint64_t sequence, const OutcomeMap &counts);
OutcomeMap fromWire(const v1::OutcomeReport &report);

}
