// ProxyTask: upstreams whose processes end while they run requests.

#include "proxy/proxytask.h"

#include "common/log.h"

namespace cumindyke
{

/// Logs the request if the upstream's process has ended: it is one of those that may have caused it. A lost answer alone does not tell a process that
/// ended from a connection that was reset.
void ProxyTask::checkUpstreamEnded(ProxyRequest &request)
{
    const UpstreamInstance &upstream = request.upstream;
    const auto report = [this, id = request.parsed.id, upstream = upstream.name, fingerprint = request.fingerprint()](bool hasEnded) {
        if (!hasEnded) {
            return;
        }
        m_requestsLostToEndedUpstreams.add();
        logWarning("proxy", "upstream-ended", {{"id", id.value}, {"fingerprint", toString(fingerprint)}, {"upstream", upstream.value}});
    };
    m_livenessChecks.check(upstream.name.value, upstream.address, report);
}

}
