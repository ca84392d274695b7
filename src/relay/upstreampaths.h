#pragma once

#include "common/metrics.h"
#include "common/result.h"
#include "relay/pathmonitor.h"
#include "relay/relaycheck.h"
#include "relay/relaychoice.h"
#include "relay/relayserver.h"
#include "upstream/livenesscheck.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cumindyke
{

struct UpstreamPathsOptions
{
    VmName vm;
    DataCentreName localDataCentre;
    std::map<DataCentreName, RegionName> regions;
    /// Where this VM opens connections for others; all VMs use the same port. None: nothing is relayed.
    std::optional<Address> relayAddress;
    /// Maps an upstream's address to the one that is connected to; none: the same.
    std::function<Address(const Address &)> mapAddress;
};

/// The paths from this VM to the upstreams: directly, or through another VM while this one has lost its own. Opens connections for the VMs without a path,
/// too. Used in one task's loop.
class UpstreamPaths
{
public:
    /// Time for a connection to an upstream.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
    /// The relay may need all of it for its own attempt.
    static constexpr Duration RelayConnectTimeout = ConnectTimeout + std::chrono::milliseconds(100);
    /// Later the address may belong to another process.
    static constexpr Duration MaxUndecidedTime = std::chrono::seconds(5);

    /// Error: Unavailable, when the relay's address can't be bound.
    static Result<std::unique_ptr<UpstreamPaths>> open(EventLoop &loop, UpstreamPathsOptions options, Metrics &metrics);

    /// Sets the VMs that may be asked.
    void setFleet(const v1::FleetTally &fleet)
    {
        m_relays.setFleet(fleet);
    }
    /// From now on no connection is opened for another VM; those that are open stay.
    void setDraining();
    /// Connections that are open for other VMs.
    std::size_t relayedCount() const
    {
        return m_relayServer ? m_relayServer->connectionCount() : 0;
    }

    Address connectAddress(const Address &upstream) const;
    bool isLostTo(const Address &upstream) const;
    /// Whether a connection to the upstream should, and can, be opened by another VM. "homeRegions": the regions in which the request's body may be; none:
    /// all.
    bool mayUseRelay(const Address &upstream, const std::optional<std::set<RegionName>> &homeRegions) const;
    /// The VM to ask for a connection to the upstream. None: it is connected to directly, also while the path is lost and no other VM can be used.
    std::optional<VmName> chooseRelay(const Address &upstream, const std::optional<std::set<RegionName>> &homeRegions);
    Address relayAddress(const VmName &relay) const
    {
        return Address{.host = relay.value, .port = m_options.relayAddress->port};
    }
    void recordRelayFailure(const VmName &relay)
    {
        m_relays.recordFailure(relay, EventLoop::now());
    }

    void recordConnected(const Address &upstream);
    /// Records that a connection that was begun at this time could not be opened.
    void recordConnectFailure(const Address &upstream, TimePoint startedAt);
    /// Calls "then" with whether an upstream that refused a connection has ended. Ended upstreams refuse as a lost path does: while they can't be told
    /// apart here, a VM with a path decides. Without any the refusal counts, unless other VMs have no path either: then the verdict is Unknown, and "then"
    /// is called a second time if a path is back within MaxUndecidedTime.
    void confirmEnded(const Address &upstream, std::function<void(EndVerdict)> then);

    /// The path was lost: what is still being opened should use another VM.
    sigc::signal<void> &lost()
    {
        return m_lost;
    }

private:
    /// An upstream that refused a connection while neither this VM nor those that were asked had a path.
    struct Undecided
    {
        Address upstream;
        TimePoint until;
        std::function<void(EndVerdict)> then;
    };

    UpstreamPaths(EventLoop &loop, UpstreamPathsOptions options, Metrics &metrics);
    std::optional<Error> openRelay(Metrics &metrics);
    void update(const Address &lastTried);
    void updateAvailability();
    void probe();
    void askRelay(const Address &upstream, int remaining, bool othersAreCut, std::function<void(EndVerdict)> then);
    void recheckUndecided();
    void connectAgain(const Address &upstream, std::function<void(EndVerdict)> then);

    EventLoop &m_loop;
    const UpstreamPathsOptions m_options;
    Counter m_losses;
    PathMonitor m_monitor;
    bool m_isLost = false;
    bool m_isDraining = false;
    RelayChoice m_relays;
    /// Null without a relay address.
    std::unique_ptr<RelayServer> m_relayServer;
    Timer m_probeTimer;
    std::vector<std::shared_ptr<LivenessCheck>> m_probes;
    std::map<std::uint64_t, std::shared_ptr<RelayCheck>> m_checks;
    std::uint64_t m_lastCheck = 0;
    Timer m_recheckTimer;
    std::vector<Undecided> m_undecided;
    std::map<std::uint64_t, std::shared_ptr<LivenessCheck>> m_rechecks;
    sigc::signal<void> m_lost;
};

}
