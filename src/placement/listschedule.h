#pragma once

#include "placement/placementtypes.h"

#include <map>
#include <optional>
#include <string>

namespace cumindyke
{

/// What is read of the platform's list next.
struct ListRead
{
    enum class Scope {
        Whole, ///< all of it; given up for the parts when it has many pages
        DataCentre, ///< the upstreams of one data centre
        Discovery, ///< one page of the whole, only to learn which data centres there are
    };
    Scope scope = Scope::Whole;
    DataCentreName dataCentre;
    /// Of the first page.
    std::string pageToken;
};

/// Which part of the platform's list a placement server reads, and when. Pure: time is an argument.
///
/// A list of some pages is read whole. Of a longer one a server reads its own data centre's part, and the others only while its own upstreams are not
/// enough: the whole of a long list would take much of a small VM's link and processor each second.
class ListSchedule
{
public:
    /// More pages than these are not read whole.
    static constexpr std::size_t MaxWholePages = 2;

    ListSchedule(DataCentreName localDataCentre, Duration interval)
        : m_localDataCentre(std::move(localDataCentre))
        , m_interval(interval)
    {
    }

    /// Everything is due again: what was read before is as old as the pause.
    void reset();
    /// What to read now, if anything is due.
    std::optional<ListRead> nextRead(bool remoteWanted, TimePoint now) const;

    /// When nothing is due now: how long until something may be.
    Duration timeUntilNextCheck(TimePoint now) const;

    /// A data centre that has upstreams or entry VMs.
    void addDataCentre(const DataCentreName &dataCentre);
    void onWholeRead(TimePoint now);
    /// The whole has more pages than are read at a time.
    void switchToParts()
    {
        m_inParts = true;
    }
    bool readsInParts() const
    {
        return m_inParts;
    }
    void onPartRead(const DataCentreName &dataCentre, TimePoint now);
    /// A page of the survey was read; the last one has no next.
    void onDiscoveryPageRead(const std::string &nextPage, TimePoint now);
    /// The reading is given up; it is due again after the interval.
    void onReadFailed(const ListRead &failedRead, TimePoint now);

private:
    const DataCentreName m_localDataCentre;
    const Duration m_interval;
    bool m_inParts = false;
    TimePoint m_wholeDueAt{};
    /// When each data centre's part is due; farther ones only while they are wanted.
    std::map<DataCentreName, TimePoint> m_partsDueAt;
    TimePoint m_discoveryDueAt{};
    std::string m_discoveryPageToken;
};

}
