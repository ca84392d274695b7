#include "upstream/livenesschecks.h"

namespace cumindyke
{

void LivenessChecks::check(const std::string &upstream, const Address &address, Callback callback)
{
    std::shared_ptr<Pending> &pending = m_pending[upstream];
    if (!pending) {
        pending = std::make_shared<Pending>();
        pending->address = address;
        pending->startTimer = std::make_unique<Timer>(m_loop, [this, upstream] { start(upstream); });
        pending->startTimer->startOnce(StartDelay);
    }
    pending->callbacks.push_back(std::move(callback));
}

void LivenessChecks::start(const std::string &upstream)
{
    Pending &pending = *m_pending[upstream];
    pending.check
        = std::make_unique<LivenessCheck>(m_loop, pending.address, [this, upstream](Liveness liveness) { finish(upstream, liveness == Liveness::Refuses); });
}

void LivenessChecks::finish(const std::string &upstream, bool hasEnded)
{
    const std::shared_ptr<Pending> pending = std::move(m_pending[upstream]);
    m_pending.erase(upstream);
    // The check that reports is still running its callback.
    m_loop.releaseLater(pending);
    for (const Callback &callback : pending->callbacks) {
        callback(hasEnded);
    }
}

}
