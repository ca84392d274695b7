#pragma once

#include "common/result.h"

#include "routing.pb.h"

#include <optional>

namespace cumindyke
{

/// What turns one route table into another; the order of routes, services and organisations has no meaning. None when a table names one of
/// them twice, so that a change could not say which it means.
std::optional<v1::RouteTableChange> changeBetween(const v1::RouteTable &before, const v1::RouteTable &after);

/// The table after the change. Error: Invalid, when the change was made for another table.
Result<v1::RouteTable> withChange(const v1::RouteTable &before, const v1::RouteTableChange &change);

}
