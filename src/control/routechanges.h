#pragma once

#include "common/result.h"

#include "routing.pb.h"

#include <optional>

namespace cumindyke
{

/// Returns the change that turns one route table into another; the order of routes, services and organisations has no meaning. No value if a table
/// has two items with the same key, since a change could not tell them apart.
std::optional<v1::RouteTableChange> diffRouteTables(const v1::RouteTable &before, const v1::RouteTable &after);

/// Returns the table after the change. Errors: Invalid if the change was made for another table.
Result<v1::RouteTable> applyRouteTableChange(const v1::RouteTable &before, const v1::RouteTableChange &change);

}
