#pragma once

#include "domain/declarations.h"

#include "declarations.pb.h"

/// Conversion between the domain's types and their messages on the wire.
namespace cumindyke
{

v1::Change toWire(const Change &change);
/// Errors: Invalid if the message sets no change or a field is no valid domain value.
Result<Change> fromWire(const v1::Change &change);

v1::Declarations toWire(const Declarations &declarations);
Result<Declarations> fromWire(const v1::Declarations &declarations);

}
