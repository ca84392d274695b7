#pragma once

#include "common/types.h"

#include <map>
#include <set>
#include <vector>

namespace cumindyke
{

/// Which upstreams get no new work for now: those that refuse it or can't be reached, and those the platform says are leaving.
///
/// Failure guarded against: an upstream that fails at once looks idle, so the least busy one is always the broken one, and callers see
/// refusals while healthy upstreams stand by. The first sign keeps new work away; afterwards one request at a time is the trial, and
/// only a trial that ran brings the upstream back. So a broken or leaving upstream costs one refused dispatch for each pause, and pauses
/// double. A dispatch that was refused is not lost: it goes elsewhere.
class Availability
{
public:
    /// It refused a request unrun, or no connection to it could be made.
    void refused(const UpstreamName &upstream, TimePoint now);
    /// It took a request.
    void took(const UpstreamName &upstream);
    /// A request goes to it: if this is a trial, no other goes until its result is known or TrialPatience is over.
    void granted(const UpstreamName &upstream, TimePoint now);
    /// All upstreams that the platform says are leaving.
    void setLeaving(std::set<UpstreamName> leaving);

    bool isUsable(const UpstreamName &upstream, TimePoint now) const;
    /// The upstreams that are not usable.
    std::set<UpstreamName> unusable(TimePoint now) const;

private:
    struct Sign
    {
        /// No new work before this time.
        TimePoint until;
        Duration pause{0};
        /// One request is out to see whether the upstream is back.
        bool onTrial = false;
    };

    std::map<UpstreamName, Sign> m_signs;
    std::set<UpstreamName> m_leaving;
};

}
