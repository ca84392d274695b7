#include "placement/listschedule.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Between two surveys. Data centres come and go with the platform's building work, not with its load.
constexpr Duration SurveyInterval = std::chrono::seconds(60);
/// The farther parts may be wanted at any moment.
constexpr Duration LookInterval = std::chrono::milliseconds(100);

}

void ListSchedule::restart()
{
    m_nextWhole = {};
    m_inParts = false;
    for (auto &[dataCentre, due] : m_nextPart) {
        due = {};
    }
}

std::optional<ListRead> ListSchedule::next(bool fartherWanted, TimePoint now) const
{
    if (!m_inParts) {
        return now >= m_nextWhole ? std::optional(ListRead{.dataCentre = {}, .pageToken = {}}) : std::nullopt;
    }
    const auto own = m_nextPart.find(m_here);
    if (own == m_nextPart.end() || now >= own->second) {
        return ListRead{.part = ListRead::Part::DataCentre, .dataCentre = m_here, .pageToken = {}};
    }
    const std::pair<const DataCentreName, TimePoint> *oldest = nullptr;
    for (const auto &part : m_nextPart) {
        if (part.first == m_here || now < part.second || (oldest && oldest->second <= part.second)) {
            continue;
        }
        oldest = &part;
    }
    if (fartherWanted && oldest) {
        return ListRead{.part = ListRead::Part::DataCentre, .dataCentre = oldest->first, .pageToken = {}};
    }
    if (now >= m_nextSurvey) {
        return ListRead{.part = ListRead::Part::Survey, .dataCentre = {}, .pageToken = m_surveyPage};
    }
    return {};
}

Duration ListSchedule::untilNextLook(TimePoint now) const
{
    return m_inParts ? LookInterval : std::max(Duration::zero(), m_nextWhole - now);
}

void ListSchedule::known(const DataCentreName &dataCentre)
{
    m_nextPart.try_emplace(dataCentre);
}

void ListSchedule::wholeRead(TimePoint now)
{
    m_inParts = false;
    m_nextWhole = now + m_interval;
}

void ListSchedule::partRead(const DataCentreName &dataCentre, TimePoint now)
{
    m_nextPart[dataCentre] = now + m_interval;
}

void ListSchedule::surveyed(const std::string &nextPage, TimePoint now)
{
    m_surveyPage = nextPage;
    m_nextSurvey = now + (nextPage.empty() ? SurveyInterval : m_interval);
}

void ListSchedule::failed(const ListRead &reading, TimePoint now)
{
    switch (reading.part) {
    case ListRead::Part::Whole:
        m_nextWhole = now + m_interval;
        break;
    case ListRead::Part::DataCentre:
        partRead(reading.dataCentre, now);
        break;
    case ListRead::Part::Survey:
        surveyed("", now);
        break;
    }
}

}
