#pragma once

#include "placement/placementtypes.h"

#include <map>
#include <optional>
#include <string>

namespace cumindyke
{

/// The next read of the platform's list of upstreams.
struct ListRead
{
    enum class Scope {
        Whole, ///< the whole list; abandoned in favour of parts when it has many pages
        DataCentre, ///< the upstreams of one data centre
        Discovery, ///< one page of the whole list, only to discover data centres
    };
    Scope scope = Scope::Whole;
    DataCentreName dataCentre;
    /// Token of the page to start at.
    std::string pageToken;
};

/// Decides which part of the platform's list of upstreams a placement server reads, and when. Pure: time is an argument.
///
/// A list of few pages is read whole. Of a longer list a server reads the part of its own data centre, and the other parts only while its local
/// upstreams do not suffice: reading a long list whole every second would take much of a small VM's bandwidth and CPU.
class ListSchedule
{
public:
    /// A list with more pages is not read whole.
    static constexpr std::size_t MaxWholePages = 2;

    ListSchedule(DataCentreName localDataCentre, Duration interval)
        : m_localDataCentre(std::move(localDataCentre))
        , m_interval(interval)
    {
    }

    /// Makes all reads due, since after a pause everything that was read before is outdated.
    void reset();
    /// Returns the read that is due, if any.
    std::optional<ListRead> nextRead(bool remoteWanted, TimePoint now) const;

    /// Returns the time after which to call nextRead() again when nothing is due now.
    Duration timeUntilNextCheck(TimePoint now) const;

    /// Registers a data centre that has upstreams or entry VMs.
    void addDataCentre(const DataCentreName &dataCentre);
    void onWholeRead(TimePoint now);
    /// Switches to reading by parts, since the whole list has more than MaxWholePages pages.
    void switchToParts()
    {
        m_inParts = true;
    }
    bool readsInParts() const
    {
        return m_inParts;
    }
    void onPartRead(const DataCentreName &dataCentre, TimePoint now);
    /// Records that a page was read for discovery. "nextPage" is empty after the last page.
    void onDiscoveryPageRead(const std::string &nextPage, TimePoint now);
    /// Records that the read failed; it is due again after the interval.
    void onReadFailed(const ListRead &failedRead, TimePoint now);

private:
    const DataCentreName m_localDataCentre;
    const Duration m_interval;
    bool m_inParts = false;
    TimePoint m_wholeDueAt{};
    /// When the part of each data centre is due. Parts of remote data centres are only read while they are wanted.
    std::map<DataCentreName, TimePoint> m_partsDueAt;
    TimePoint m_discoveryDueAt{};
    std::string m_discoveryPageToken;
};

}
