#pragma once

#include "common/types.h"

#include <map>
#include <set>
#include <vector>

namespace cumindyke
{

/// Tracks which upstreams get no new work: those ejected because they refuse requests or can't be reached, and those draining.
///
/// Guards against a failing upstream that attracts all requests: it fails at once and so looks idle, and callers see refusals while healthy
/// upstreams are unused. The first refusal ejects the upstream. When the ejection time has passed, a single request probes it; only an
/// accepted probe readmits it, and a refused one doubles the ejection time. So a failing upstream costs one refused dispatch per ejection
/// time, and the refused request is placed on another upstream.
class Availability
{
public:
    /// Records that the upstream refused a request without running it, or that no connection to it could be made. "pause": for how long it asked for no
    /// further request; zero: it did not.
    void recordRefusal(const UpstreamName &upstream, TimePoint now, Duration pause = {});
    /// Records that the upstream accepted a request.
    void recordAcceptance(const UpstreamName &upstream);
    /// Records that a request is sent to the upstream. If it is a probe, no other request follows until its result or ProbeTimeout.
    void recordDispatch(const UpstreamName &upstream, TimePoint now);
    /// Sets all upstreams that are draining according to the platform.
    void setDraining(std::set<UpstreamName> draining);

    bool isUsable(const UpstreamName &upstream, TimePoint now) const;
    /// Returns the upstreams that must get no new work.
    std::set<UpstreamName> unusableUpstreams(TimePoint now) const;

private:
    struct Ejection
    {
        /// No new work before this time.
        TimePoint ejectedUntil;
        Duration ejectionTime{0};
        /// A request is probing whether the upstream works again.
        bool isProbing = false;
    };

    std::map<UpstreamName, Ejection> m_ejections;
    std::set<UpstreamName> m_draining;
};

}
