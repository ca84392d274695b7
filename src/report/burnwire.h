#pragma once

#include "report/burnseries.h"

#include "report.pb.h"

/// Conversions between the burn series and its protobuf messages.
namespace cumindyke
{

v1::BurnBucket toWire(const BurnBucket &bucket);
v1::BurnSeries toWire(const BurnSeries &series);
BurnCountMap fromWire(const google::protobuf::RepeatedPtrField<v1::BurnCounts> &counts);
BurnSeries fromWire(const v1::BurnSeries &series);

}
