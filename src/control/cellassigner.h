#pragma once

#include "control/distribution.h"
#include "control/statemachine.h"

namespace cumindyke
{

/// Decides which VM schedules each cell ("SERVICE/DATA CENTRE", from the declared upstreams). Returns the assignments to propose now, each with the
/// next epoch of its cell.
///
/// A cell never has two schedulers. A draining holder loses its cell in two steps: the cell is first assigned to no VM, and to the next VM once the
/// former holder has that assignment in force or certainly holds no lease. The cells of a holder that has timed out stay assigned until its lease has
/// certainly ended. If no other VM is available, a draining VM keeps its cells, since its own queued requests still need them.
std::vector<v1::CellAssignment> nextCellAssignments(const StateMachine &state, const Distribution &distribution, TimePoint now);

}
