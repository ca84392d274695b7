#include "entry/admission.h"

#include "common/hash.h"

#include <random>

namespace cumindyke
{

namespace
{

/// Returns a random id for this incarnation of the process, so that request ids stay unique over restarts.
std::string makeIncarnation()
{
    std::random_device device;
    const std::uint64_t bits = (static_cast<std::uint64_t>(device()) << 32) | device();
    return fingerprint(std::to_string(bits)).substr(0, 8);
}

}

Admission::Admission(VmName vm)
    : m_vm(std::move(vm))
    , m_incarnation(makeIncarnation())
    , m_configuration{.declarations = std::make_shared<const Declarations>(), .moves = {}, .cells = {}, .admitUntil = {}}
{
}

void Admission::setConfiguration(Configuration configuration)
{
    m_configuration = std::move(configuration);
}

std::optional<Error> Admission::notReadyError(TimePoint now) const
{
    if (m_draining) {
        return Error{ErrorKind::Unavailable, "this VM is shutting down: resend the request, the load balancer will pick another VM"};
    }
    if (m_configuration.declarations->revision() == Revision{0}) {
        return Error{ErrorKind::Unavailable, "nothing is declared yet: an operator must apply declarations first"};
    }
    if (now >= m_configuration.admitUntil) {
        return Error{ErrorKind::Unavailable, "this VM has no connection to the control replicas: resend the request, the load balancer will pick another VM"};
    }
    return {};
}

Result<CallerRequest> Admission::admit(const Exchange &exchange, TimePoint now)
{
    if (std::optional<Error> refusal = notReadyError(now)) {
        return *std::move(refusal);
    }
    return parseCallerRequest(exchange, *m_configuration.declarations, nextRequestId(), now);
}

RequestId Admission::nextRequestId()
{
    return RequestId{m_vm.value + "-" + m_incarnation + "-" + std::to_string(++m_requestCount)};
}

}
