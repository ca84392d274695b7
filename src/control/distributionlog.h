#pragma once

#include "common/types.h"
#include "control/distributionmetrics.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cumindyke
{

/// The leader's lines and counts on how versions reach the VMs: one line for each published version, one when it is in force, and one a second for all
/// repairs.
class DistributionLog
{
public:
    explicit DistributionLog(const std::optional<DistributionMetrics> &metrics)
        : m_metrics(metrics)
    {
    }

    struct Publication
    {
        std::uint64_t version = 0;
        std::uint64_t routesVersion = 0;
        /// Of the update without its relay list, as it goes to each VM.
        std::size_t updateBytes = 0;
        std::size_t vms = 0;
    };

    void published(const Publication &publication, TimePoint now);
    /// A VM was sent an update by itself.
    void repaired(std::size_t updateBytes);
    /// It is certain that the version will be in force in time.
    void confirmed(std::uint64_t version, Duration waited);
    /// How many VMs may still admit work under an older version than the last one published, and how many have stopped.
    void look(std::size_t pending, std::size_t lapsed, TimePoint now);
    /// The last version published, until it is in force.
    std::optional<std::uint64_t> spreading() const
    {
        return m_spreading;
    }
    bool hasNews() const
    {
        return m_spreading || m_repairs > 0;
    }
    void stop();

private:
    std::optional<DistributionMetrics> m_metrics;
    std::optional<std::uint64_t> m_spreading;
    TimePoint m_publishedAt{};
    TimePoint m_nextRepairLine{};
    std::size_t m_repairs = 0;
    std::size_t m_repairBytes = 0;
};

}
