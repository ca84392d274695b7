#include "placement/listschedule.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Time between two discoveries. Data centres are added and removed by construction work, not with load.
constexpr Duration DiscoveryInterval = std::chrono::seconds(60);
/// Parts of remote data centres may become wanted at any moment.
constexpr Duration CheckInterval = std::chrono::milliseconds(100);

}

void ListSchedule::reset()
{
    m_wholeDueAt = {};
    m_inParts = false;
    for (auto &[dataCentre, dueAt] : m_partsDueAt) {
        dueAt = {};
    }
}

std::optional<ListRead> ListSchedule::nextRead(bool remoteWanted, TimePoint now) const
{
    if (!m_inParts) {
        return now >= m_wholeDueAt ? std::optional(ListRead{.dataCentre = {}, .pageToken = {}}) : std::nullopt;
    }
    const auto own = m_partsDueAt.find(m_localDataCentre);
    if (own == m_partsDueAt.end() || now >= own->second) {
        return ListRead{.scope = ListRead::Scope::DataCentre, .dataCentre = m_localDataCentre, .pageToken = {}};
    }
    const std::pair<const DataCentreName, TimePoint> *oldest = nullptr;
    for (const auto &part : m_partsDueAt) {
        if (part.first == m_localDataCentre || now < part.second || (oldest && oldest->second <= part.second)) {
            continue;
        }
        oldest = &part;
    }
    if (remoteWanted && oldest) {
        return ListRead{.scope = ListRead::Scope::DataCentre, .dataCentre = oldest->first, .pageToken = {}};
    }
    if (now >= m_discoveryDueAt) {
        return ListRead{.scope = ListRead::Scope::Discovery, .dataCentre = {}, .pageToken = m_discoveryPageToken};
    }
    return {};
}

Duration ListSchedule::timeUntilNextCheck(TimePoint now) const
{
    return m_inParts ? CheckInterval : std::max(Duration::zero(), m_wholeDueAt - now);
}

void ListSchedule::addDataCentre(const DataCentreName &dataCentre)
{
    m_partsDueAt.try_emplace(dataCentre);
}

void ListSchedule::onWholeRead(TimePoint now)
{
    m_inParts = false;
    m_wholeDueAt = now + m_interval;
}

void ListSchedule::onPartRead(const DataCentreName &dataCentre, TimePoint now)
{
    m_partsDueAt[dataCentre] = now + m_interval;
}

void ListSchedule::onDiscoveryPageRead(const std::string &nextPage, TimePoint now)
{
    m_discoveryPageToken = nextPage;
    m_discoveryDueAt = now + (nextPage.empty() ? DiscoveryInterval : m_interval);
}

void ListSchedule::onReadFailed(const ListRead &failedRead, TimePoint now)
{
    switch (failedRead.scope) {
    case ListRead::Scope::Whole:
        m_wholeDueAt = now + m_interval;
        break;
    case ListRead::Scope::DataCentre:
        onPartRead(failedRead.dataCentre, now);
        break;
    case ListRead::Scope::Discovery:
        onDiscoveryPageRead("", now);
        break;
    }
}

}
