#pragma once

#include "control/statemachine.h"

#include <map>
#include <memory>
#include <set>

namespace cumindyke
{

struct FollowerOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// Random at each start of the process.
    std::uint64_t incarnation = 0;
    /// How long the VM admits work under the last configuration after its lease has ended; docs/notes/quorum-loss.md.
    Duration keepAdmitting = Duration::zero();
};

/// The configuration that a VM has in force, and until when the VM may act on it. Needs no replica and no disk: a new process starts empty and admits
/// nothing before it has a lease, which the leader grants only to VMs with the newest configuration.
class Follower
{
public:
    explicit Follower(FollowerOptions options);

    /// Builds the next heartbeat. The lease that replies to it counts from now, by this VM's own clock: a slow network shortens the lease and never
    /// extends it.
    v1::ConfigHeartbeat makeHeartbeat(TimePoint now);
    /// Applies a lease; returns true when it ends later than the one before. A lease for a heartbeat that this process did not send is ignored: it
    /// was granted to an earlier process of this VM, whose heartbeats were sent at other times.
    bool handleLease(const v1::ConfigLease &lease);

    enum class UpdateResult {
        Applied, ///< a newer configuration is in force
        Outdated, ///< late or duplicate: the configuration in force stays
        Gap, ///< changes in between are missing: send a heartbeat, so that the leader sends a repair
    };
    UpdateResult applyUpdate(const v1::ConfigUpdate &update);
    void setDraining(bool draining)
    {
        m_draining = draining;
    }

    const std::shared_ptr<const Declarations> &declarations() const
    {
        return m_declarations;
    }
    const std::vector<v1::Move> &moves() const
    {
        return m_moves;
    }
    /// Cells by name. A cell that an earlier process of this VM held has no holder here.
    const std::map<std::string, v1::CellAssignment> &cells() const
    {
        return m_cells;
    }
    /// The routes in force; null before the first update with routes.
    const std::shared_ptr<const v1::RouteTable> &routes() const
    {
        return m_routes;
    }
    const std::vector<v1::Rollout> &rollouts() const
    {
        return m_rollouts;
    }
    /// The data centres whose upstreams get no new requests.
    const std::set<DataCentreName> &evacuated() const
    {
        return m_evacuated;
    }
    std::uint64_t version() const
    {
        return m_version;
    }
    /// Cells may be scheduled before this time.
    TimePoint leaseUntil() const
    {
        return m_leaseUntil;
    }
    /// New work may be admitted before this time.
    TimePoint admitUntil() const;

private:
    UpdateResult reportGap();

    const FollowerOptions m_options;
    std::uint64_t m_lastHeartbeat;
    /// When each of the last heartbeats was sent, by their numbers.
    std::map<std::uint64_t, TimePoint> m_heartbeatSentAt;
    TimePoint m_leaseUntil{};
    bool m_draining = false;
    bool m_needsFullDeclarations = false;
    /// The changes to the routes did not fit the table in force, so the next update must have the full table.
    bool m_needsFullRoutes = false;
    /// The last update starts at a later version than the one in force.
    bool m_gap = false;

    std::uint64_t m_version = 0;
    std::shared_ptr<const Declarations> m_declarations;
    std::vector<v1::Move> m_moves;
    std::shared_ptr<const v1::RouteTable> m_routes;
    std::vector<v1::Rollout> m_rollouts;
    std::set<DataCentreName> m_evacuated;
    std::map<std::string, v1::CellAssignment> m_cells;
};

/// Returns the state as one update: the changes since a revision if they are kept and few, otherwise the full declarations. Includes what a receiver
/// with the given version of the routes lacks of the route table.
v1::ConfigUpdate makeConfigUpdate(const StateMachine &state, Revision from, std::uint64_t routesVersion = 0);
v1::ConfigUpdate makeFullConfigUpdate(const StateMachine &state);

}
