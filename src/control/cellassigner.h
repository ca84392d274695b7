#pragma once

#include "control/distribution.h"
#include "control/statemachine.h"

namespace cumindyke
{

/// Decides which VM schedules each cell ("SERVICE/DATA CENTRE", from the declared upstreams).
///
/// A cell is taken from its holder in two steps, so that it never has two: when the holder drains, the cell is first given to nobody,
/// and to the next VM once the holder has that in force or certainly holds no lease. A holder that is lost is left alone until its
/// lease has certainly ended. The last VM keeps its cells while it drains: its own waiting requests still need them. Returns the assignments to put into the
/// log now, each with the next epoch of its cell.
std::vector<v1::CellAssignment> nextCellAssignments(const StateMachine &state, const Distribution &distribution, TimePoint now);

}
