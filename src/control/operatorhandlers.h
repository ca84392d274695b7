#pragma once

#include "control/controltask.h"
#include "peer/rpcserver.h"

namespace cumindyke
{

/// Serves operators' calls by posting them to the control task, which must outlive the server that calls these.
OperatorHandlers operatorHandlers(ControlTask &control);

}
