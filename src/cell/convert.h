#pragma once

#include "cell/cellmessages.h"

#include "cell.pb.h"

namespace cumindyke
{

v1::Demand toProto(const Demand &demand);
v1::Grants toProto(const Grants &grants);
v1::GrantReport toProto(const GrantReport &report);

Demand fromProto(const v1::Demand &message);
Grants fromProto(const v1::Grants &message);
GrantReport fromProto(const v1::GrantReport &message);

}
