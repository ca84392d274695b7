#pragma once

#include "domain/declarations.h"

#include "declarations.pb.h"

/// Between the domain's aggregates and their form on the wire.
namespace cumindyke
{

v1::Change toWire(const Change &change);
/// Errors: Invalid, when a message sets no change or a field can't be a domain value.
Result<Change> fromWire(const v1::Change &change);

v1::Declarations toWire(const Declarations &declarations);
Result<Declarations> fromWire(const v1::Declarations &declarations);

}
