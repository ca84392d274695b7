#pragma once

#include "control/controltask.h"
#include "entry/callerrequest.h"

#include <optional>

namespace cumindyke
{

/// Decides whether this VM takes a request: its readiness, and the caller's rights.
class Admission
{
public:
    explicit Admission(VmName vm);

    void setConfiguration(Configuration configuration);
    const Configuration &configuration() const
    {
        return m_configuration;
    }
    /// Differs at every start of the process.
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
    /// Why this VM takes no request at all now, if so: what the balancer is told.
    std::optional<Error> unready(TimePoint now) const;
    /// The request, with an id of its own, or why it is refused.
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
