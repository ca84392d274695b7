#include "control/routehistory.h"

#include "common/packing.h"
#include "control/routechanges.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

Error unreadableTable()
{
    return Error{ErrorKind::Invalid, "the route table can't be read: publish it from a VM of the same version"};
}

template<typename Message>
Result<Message> unpackMessage(const std::string &packed)
{
    const Result<std::string> bytes = unpack(packed);
    Message message;
    if (!ok(bytes) || !message.ParseFromString(valueOf(bytes))) {
        return unreadableTable();
    }
    return message;
}

Result<RouteTablePointer> unpackTable(const std::string &packed)
{
    Result<v1::RouteTable> table = unpackMessage<v1::RouteTable>(packed);
    if (!ok(table)) {
        return errorOf(table);
    }
    return std::make_shared<const v1::RouteTable>(std::move(valueOf(table)));
}

}

v1::PublishRoutes packPublication(const v1::RouteTable &table, const std::string &document)
{
    v1::PublishRoutes publication;
    publication.set_packed_table(pack(table.SerializeAsString()));
    publication.set_packed_document(pack(document));
    return publication;
}

Result<RouteTablePointer> unpackRouteTable(const v1::PublishRoutes &publication)
{
    if (publication.packed_table().empty()) {
        return std::make_shared<const v1::RouteTable>(publication.table());
    }
    return unpackTable(publication.packed_table());
}

std::string packedDocumentOf(const v1::PublishRoutes &publication)
{
    return publication.document().empty() ? publication.packed_document() : pack(publication.document());
}

RouteHistory::RouteHistory()
    : m_newest(std::make_shared<const v1::RouteTable>())
{
}

void RouteHistory::publish(RouteTablePointer table, std::string packed)
{
    const RouteTablePointer before = std::exchange(m_newest, std::move(table));
    m_packedNewest = packed.empty() ? pack(m_newest->SerializeAsString()) : std::move(packed);
    recordChange(*before);
}

void RouteHistory::recordChange(const v1::RouteTable &before)
{
    const std::optional<v1::RouteTableChange> change = before.version() == 0 ? std::nullopt : diffRouteTables(before, *m_newest);
    if (!change) {
        m_changes.clear();
        return;
    }
    v1::PackedRoutesChange &packed = m_changes.emplace_back();
    packed.set_from_version(before.version());
    packed.set_version(m_newest->version());
    packed.set_packed(pack(change->SerializeAsString()));
    std::size_t bytes = 0;
    for (const v1::PackedRoutesChange &kept : m_changes) {
        bytes += kept.ByteSizeLong();
    }
    while (!m_changes.empty() && bytes > m_packedNewest.size()) {
        bytes -= m_changes.front().ByteSizeLong();
        m_changes.pop_front();
    }
}

v1::RoutesUpdate RouteHistory::updateSince(std::uint64_t version) const
{
    v1::RoutesUpdate update;
    update.set_version(m_newest->version());
    const auto first = std::ranges::find_if(m_changes, [version](const v1::PackedRoutesChange &change) { return change.from_version() == version; });
    if (version == 0 || first == m_changes.end()) {
        update.set_packed_table(m_packedNewest);
        return update;
    }
    update.mutable_changes()->Add(first, m_changes.end());
    return update;
}

Result<RouteTablePointer> applyRoutesUpdate(const RouteTablePointer &current, const v1::RoutesUpdate &update)
{
    if (!update.packed_table().empty()) {
        return unpackTable(update.packed_table());
    }
    RouteTablePointer table = current;
    for (const v1::PackedRoutesChange &packed : update.changes()) {
        const std::uint64_t version = table ? table->version() : 0;
        // The update may start before the current version.
        if (packed.version() <= version) {
            continue;
        }
        if (packed.from_version() != version) {
            return Error{ErrorKind::Invalid, "changes before these are missing: request them"};
        }
        const Result<v1::RouteTableChange> change = unpackMessage<v1::RouteTableChange>(packed.packed());
        if (!ok(change)) {
            return errorOf(change);
        }
        Result<v1::RouteTable> next = applyRouteTableChange(*table, valueOf(change));
        if (!ok(next)) {
            return errorOf(next);
        }
        table = std::make_shared<const v1::RouteTable>(std::move(valueOf(next)));
    }
    if (!table || table->version() != update.version()) {
        return Error{ErrorKind::Invalid, "the changes don't lead to the version that they were sent for: request the whole table"};
    }
    return table;
}

}
