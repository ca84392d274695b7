#pragma once

#include "common/types.h"
#include "control/distributionmetrics.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cumindyke
{

/// Logs and counts how versions reach the VMs: one line for each published version, one when it is in force, and at most one a second for all
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
        /// Size of the update without its relay list, as sent to each VM.
        std::size_t updateBytes = 0;
        std::size_t vms = 0;
    };

    void recordPublication(const Publication &publication, TimePoint now);
    /// Records an update that was sent as a repair.
    void recordRepair(std::size_t updateBytes);
    /// Records that the version was confirmed after the given wait.
    void recordConfirmation(std::uint64_t version, Duration waitTime);
    /// Records how many VMs may still admit work under an older version than the last one published (pending) and how many have stopped (lapsed);
    /// logs what is due.
    void recordProgress(std::size_t pending, std::size_t lapsed, TimePoint now);
    /// The last version published, until it is in force on every VM.
    std::optional<std::uint64_t> distributingVersion() const
    {
        return m_distributingVersion;
    }
    bool hasUnloggedEvents() const
    {
        return m_distributingVersion || m_repairs > 0;
    }
    void reset();

private:
    std::optional<DistributionMetrics> m_metrics;
    std::optional<std::uint64_t> m_distributingVersion;
    TimePoint m_publishedAt{};
    TimePoint m_nextRepairLogAt{};
    std::size_t m_repairs = 0;
    std::size_t m_repairBytes = 0;
};

}
