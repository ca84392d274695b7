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

/// A publication as it goes through the log: packed by the VM that the operator called, and by no other VM again.
v1::PublishRoutes packPublication(const v1::RouteTable &table, const std::string &document);
/// Error: Invalid.
Result<RouteTablePointer> tableOf(const v1::PublishRoutes &publication);
/// What the operator sent, packed, also of a publication by an earlier version of the program.
std::string packedDocumentOf(const v1::PublishRoutes &publication);

/// The newest route table, and the changes that led to it: what a VM lacks goes to it in packed form.
class RouteHistory
{
public:
    RouteHistory();

    /// "packed" is the table as it was published; empty when it was not packed.
    void publish(RouteTablePointer table, std::string packed);
    const v1::RouteTable &newest() const
    {
        return *m_newest;
    }
    /// What a VM needs that holds a version (0: none): the changes since, or the whole table when that is smaller.
    v1::RoutesUpdate since(std::uint64_t version) const;

private:
    void addChange(const v1::RouteTable &before);

    RouteTablePointer m_newest;
    std::string m_packedNewest;
    /// Each starts at the version that the one before leads to. Together no larger than the whole table.
    std::deque<v1::PackedRoutesChange> m_changes;
};

/// The table after an update of the one held (null: none). Error: Invalid, when the update starts at another version or can't be read.
Result<RouteTablePointer> applyRoutesUpdate(const RouteTablePointer &held, const v1::RoutesUpdate &update);

}
