#pragma once

#include "control/statemachine.h"

#include <map>
#include <memory>

namespace cumindyke
{

struct FollowerOptions
{
    VmName vm;
    DataCentreName dataCentre;
    /// Random at each start of the process.
    std::uint64_t incarnation = 0;
    /// How long after its lease the VM goes on admitting work under the last configuration; docs/notes/quorum-loss.md.
    Duration keepAdmitting = Duration::zero();
};

/// What a VM has in force, and until when it may act on it. It needs no replica and no disk: a new process starts with nothing,
/// and admits nothing before it has a lease, which the leader grants to VMs with the newest configuration only.
class Follower
{
public:
    explicit Follower(FollowerOptions options);

    /// The next sign of life. The lease that answers it counts from now, by this VM's own clock: a slow network shortens the
    /// lease, it never stretches it.
    v1::ConfigHeartbeat beat(TimePoint now);
    /// Takes a lease; true when it reaches further than the one before. An answer to no beat of this process is ignored: it was
    /// for an earlier process of this VM, whose beats were sent at other times.
    bool granted(const v1::ConfigLease &lease);

    enum class Taken {
        Applied, ///< something newer is in force
        Old, ///< late or repeated: what is in force stays
        Gap, ///< changes in between are missing: beat, and the leader repairs
    };
    Taken update(const v1::ConfigUpdate &update);
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
    /// Cells by name. One that another process of this VM held counts as nobody's.
    const std::map<std::string, v1::CellAssignment> &cells() const
    {
        return m_cells;
    }
    /// The routes in force; null before the first came.
    const std::shared_ptr<const v1::RouteTable> &routes() const
    {
        return m_routes;
    }
    const std::vector<v1::Rollout> &rollouts() const
    {
        return m_rollouts;
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
    Taken missing();

    const FollowerOptions m_options;
    std::uint64_t m_nextBeat;
    /// When each of the last beats was sent.
    std::map<std::uint64_t, TimePoint> m_sent;
    TimePoint m_leaseUntil{};
    bool m_draining = false;
    bool m_needsWhole = false;
    /// The routes held don't add up with the changes that came for them.
    bool m_needsWholeRoutes = false;
    /// What came last starts after what is held.
    bool m_gap = false;

    std::uint64_t m_version = 0;
    std::shared_ptr<const Declarations> m_declarations;
    std::vector<v1::Move> m_moves;
    std::shared_ptr<const v1::RouteTable> m_routes;
    std::vector<v1::Rollout> m_rollouts;
    std::map<std::string, v1::CellAssignment> m_cells;
};

/// The state as one update: the changes after a revision when they are kept and few, else the whole declarations. What the receiver lacks
/// of the route table goes with it.
v1::ConfigUpdate makeConfigUpdate(const StateMachine &state, Revision from, std::uint64_t routesVersion = 0);
v1::ConfigUpdate makeWholeConfigUpdate(const StateMachine &state);

}
