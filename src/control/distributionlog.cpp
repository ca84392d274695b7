#include "control/distributionlog.h"

#include "common/log.h"

namespace cumindyke
{

namespace
{

constexpr Duration RepairLogInterval = std::chrono::seconds(1);

}

void DistributionLog::recordPublication(const Publication &publication, TimePoint now)
{
    m_distributingVersion = publication.version;
    m_publishedAt = now;
    if (m_metrics) {
        m_metrics->published.add();
    }
    logChange("control",
              "version-published",
              {{"version", std::to_string(publication.version)},
               {"routes_version", std::to_string(publication.routesVersion)},
               {"update_bytes", std::to_string(publication.updateBytes)},
               {"vms", std::to_string(publication.vms)}});
}

void DistributionLog::recordRepair(std::size_t updateBytes)
{
    m_repairs += 1;
    m_repairBytes += updateBytes;
    if (m_metrics) {
        m_metrics->repairs.add();
        m_metrics->repairBytes.add(static_cast<double>(updateBytes));
    }
}

void DistributionLog::recordConfirmation(std::uint64_t version, Duration waitTime)
{
    logChange("control", "version-confirmed", {{"version", std::to_string(version)}, {"after_ms", std::to_string(wholeMilliseconds(waitTime))}});
    if (m_metrics) {
        m_metrics->confirmed.add();
        m_metrics->confirmationSeconds.observe(std::chrono::duration<double>(waitTime).count());
    }
}

void DistributionLog::recordProgress(std::size_t pending, std::size_t lapsed, TimePoint now)
{
    if (m_distributingVersion && pending == 0) {
        logChange("control",
                  "version-in-force",
                  {{"version", std::to_string(*m_distributingVersion)},
                   {"after_ms", std::to_string(wholeMilliseconds(now - m_publishedAt))},
                   {"lapsed_vms", std::to_string(lapsed)}});
        if (m_metrics) {
            m_metrics->inForceSeconds.observe(std::chrono::duration<double>(now - m_publishedAt).count());
        }
        m_distributingVersion.reset();
    }
    if (m_repairs > 0 && now >= m_nextRepairLogAt) {
        m_nextRepairLogAt = now + RepairLogInterval;
        logChange("control",
                  "updates-repaired",
                  {{"updates", std::to_string(m_repairs)}, {"bytes", std::to_string(m_repairBytes)}, {"pending_vms", std::to_string(pending)}});
        m_repairs = 0;
        m_repairBytes = 0;
    }
}

void DistributionLog::reset()
{
    m_distributingVersion.reset();
    m_repairs = 0;
    m_repairBytes = 0;
}

}
