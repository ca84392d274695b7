#include "control/spreadlog.h"

#include "common/log.h"

namespace cumindyke
{

namespace
{

constexpr Duration RepairLineInterval = std::chrono::seconds(1);

}

void SpreadLog::published(const Publication &publication, TimePoint now)
{
    m_spreading = publication.version;
    m_publishedAt = now;
    logChange("control",
              "version-published",
              {{"version", std::to_string(publication.version)},
               {"routes_version", std::to_string(publication.routesVersion)},
               {"update_bytes", std::to_string(publication.updateBytes)},
               {"vms", std::to_string(publication.vms)}});
}

void SpreadLog::repaired(std::size_t updateBytes)
{
    m_repairs += 1;
    m_repairBytes += updateBytes;
}

void SpreadLog::look(std::size_t pending, std::size_t lapsed, TimePoint now)
{
    if (m_spreading && pending == 0) {
        logChange("control",
                  "version-in-force",
                  {{"version", std::to_string(*m_spreading)},
                   {"after_ms", std::to_string(wholeMilliseconds(now - m_publishedAt))},
                   {"lapsed_vms", std::to_string(lapsed)}});
        m_spreading.reset();
    }
    if (m_repairs > 0 && now >= m_nextRepairLine) {
        m_nextRepairLine = now + RepairLineInterval;
        logChange("control",
                  "updates-repaired",
                  {{"updates", std::to_string(m_repairs)}, {"bytes", std::to_string(m_repairBytes)}, {"pending_vms", std::to_string(pending)}});
        m_repairs = 0;
        m_repairBytes = 0;
    }
}

void SpreadLog::stop()
{
    m_spreading.reset();
    m_repairs = 0;
    m_repairBytes = 0;
}

}
