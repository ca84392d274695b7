#pragma once

#include "control/controltask.h"
#include "peer/rpcserver.h"

namespace cumindyke
{

/// Returns handlers that serve operators' calls by posting to the control task, which must outlive the server that calls them.
OperatorHandlers operatorHandlers(ControlTask &control);

}
