#pragma once

#include "common/metrics.h"

namespace cumindyke
{

/// Metrics of how versions reach the VMs. Only the leader adds to them.
struct DistributionMetrics
{
    Counter published;
    Counter confirmed;
    Counter repairs;
    Counter repairBytes;
    Histogram confirmationSeconds;
    Histogram inForceSeconds;

    static DistributionMetrics of(Metrics &metrics)
    {
        return DistributionMetrics{
            .published = metrics.counter("cumindyke_versions_published_total", "Versions that the leader sent to the VMs"),
            .confirmed = metrics.counter("cumindyke_versions_confirmed_total", "Versions that were certain to be in force in time"),
            .repairs = metrics.counter("cumindyke_update_repairs_total", "Updates sent to VMs that lacked a version"),
            .repairBytes = metrics.counter("cumindyke_update_repair_bytes_total", "Bytes of these updates"),
            .confirmationSeconds = metrics.histogram("cumindyke_version_confirm_seconds", "From the wait for a confirmation to it"),
            .inForceSeconds = metrics.histogram("cumindyke_version_in_force_seconds", "From the publication until no VM admits work under an older version"),
        };
    }
};

}
