#pragma once

#include "common/metrics.h"
#include "common/result.h"
#include "proxy/proxytypes.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cumindyke
{

class ControlTask;

/// Server for a platform's operator calls; runs from its construction to its destruction.
class OperatorServer
{
public:
    virtual ~OperatorServer() = default;
};

/// A platform's protocol: header names, list format and operator calls. Contains no scheduling logic.
struct Adapter
{
    ProxyHeaders headers;
    /// Adds to "declared" what the platform's terms call for. Null: nothing.
    std::function<ProxyFeatures(const std::vector<std::string> &contracts, ProxyFeatures declared)> addFeatures;
    /// Path of the load balancer's readiness check.
    std::string readinessPath;
    /// Creates the protocol for reading the platform's list of upstreams at the address.
    std::function<InstanceListProtocol(const Address &list)> instanceList;
    /// Starts a server for operators' calls and the VM's metrics. Error: Unavailable, when the address can't be bound. The budget bounds the bytes of calls'
    /// bodies.
    std::function<Result<std::unique_ptr<OperatorServer>>(const Address &address, std::size_t bodyBudgetBytes, ControlTask &control, Metrics &metrics)>
        startOperatorServer;
};

}
