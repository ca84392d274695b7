#pragma once

#include "common/metrics.h"
#include "common/result.h"
#include "proxy/proxytypes.h"

#include <functional>
#include <memory>

namespace cumindyke
{

class ControlTask;

/// A server of a platform's operator calls; it serves from its making to its destruction.
class OperatorServer
{
public:
    virtual ~OperatorServer() = default;
};

/// What a platform speaks: names, formats and calls. It decides nothing.
struct Adapter
{
    ProxyHeaders headers;
    /// What the balancer asks for.
    std::string readinessPath;
    std::function<InstanceListProtocol(const Address &list)> instanceList;
    /// Operators' calls, and the VM's metrics beside them. Error: Unavailable, when the address can't be bound.
    std::function<Result<std::unique_ptr<OperatorServer>>(const Address &address, ControlTask &control, const Metrics &metrics)> startOperatorServer;
};

}
