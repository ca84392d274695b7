#pragma once

#include "common/result.h"

#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace cumindyke
{

using RouteTablePointer = std::shared_ptr<const v1::RouteTable>;

/// Packs a publication for the log. Done once, by the VM that the operator called.
v1::PublishRoutes packPublication(const v1::RouteTable &table, const std::string &document);
/// Returns the table of a publication. Errors: Invalid if it can't be read.
Result<RouteTablePointer> unpackRouteTable(const v1::PublishRoutes &publication);
/// Returns the operator's document in packed form, also of a publication by an earlier version of the program.
std::string packedDocumentOf(const v1::PublishRoutes &publication);

/// The newest route table and the latest changes to it, in the packed form in which they are sent to VMs.
class RouteHistory
{
public:
    RouteHistory();

    /// Replaces the newest table. packed: the table as it was published; empty if it was not packed.
    void publish(RouteTablePointer table, std::string packed);
    const v1::RouteTable &newest() const
    {
        return *m_newest;
    }
    /// Returns what a VM with the given version (0: none) needs: the changes since, or the whole table if that is smaller.
    v1::RoutesUpdate updateSince(std::uint64_t version) const;

private:
    void recordChange(const v1::RouteTable &before);

    RouteTablePointer m_newest;
    std::string m_packedNewest;
    /// Each change starts at the version at which the one before it ends. Their total size is at most that of the whole table.
    std::deque<v1::PackedRoutesChange> m_changes;
};

/// Returns the table after an update of the current one (null: none). Errors: Invalid if the update starts at another version or can't be read.
Result<RouteTablePointer> applyRoutesUpdate(const RouteTablePointer &current, const v1::RoutesUpdate &update);

}
