#pragma once

#include "control/controltask.h"
#include "entry/callerrequest.h"

#include <optional>

namespace cumindyke
{

/// Decides whether this VM admits a request, from the VM's readiness and the caller's permissions.
class Admission
{
public:
    explicit Admission(VmName vm);

    void setConfiguration(Configuration configuration);
    const Configuration &configuration() const
    {
        return m_configuration;
    }
    /// Random id of this incarnation of the process.
    const std::string &incarnation() const
    {
        return m_incarnation;
    }
    void beginDrain()
    {
        m_draining = true;
    }
    bool isDraining() const
    {
        return m_draining;
    }
    /// Returns why this VM admits no requests now, as reported to the load balancer, or nothing when it is ready.
    std::optional<Error> notReadyError(TimePoint now) const;
    /// Parses the request and assigns it an id, or returns why it is refused.
    Result<CallerRequest> admit(const Exchange &exchange, TimePoint now);

private:
    RequestId nextRequestId();

    const VmName m_vm;
    const std::string m_incarnation;
    Configuration m_configuration;
    std::uint64_t m_requestCount = 0;
    bool m_draining = false;
};

}
