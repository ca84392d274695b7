#include "control/routechanges.h"

#include "common/hash.h"

#include <unordered_map>
#include <unordered_set>

namespace cumindyke
{

namespace
{

template<typename Item>
using Items = google::protobuf::RepeatedPtrField<Item>;

std::string keyOf(const v1::Route &route)
{
    return route.host() + " " + route.path_prefix();
}

std::string keyOf(const v1::RoutedService &service)
{
    return service.name();
}

std::string keyOf(const v1::RoutedOrganisation &organisation)
{
    return organisation.name();
}

/// Returns the serialized items by key; no value if two have the same key.
template<typename Item>
std::optional<std::unordered_map<std::string, std::string>> serializedByKey(const Items<Item> &items)
{
    std::unordered_map<std::string, std::string> found;
    found.reserve(static_cast<std::size_t>(items.size()));
    for (const Item &item : items) {
        if (!found.emplace(keyOf(item), item.SerializeAsString()).second) {
            return {};
        }
    }
    return found;
}

/// Appends the items that were set and the keys that were removed. Returns false if two items have the same key.
template<typename Item>
bool appendDifferences(const Items<Item> &before, const Items<Item> &after, Items<Item> &set, Items<std::string> &removed)
{
    const auto previous = serializedByKey(before);
    const auto current = serializedByKey(after);
    if (!previous || !current) {
        return false;
    }
    for (const Item &item : after) {
        const std::string key = keyOf(item);
        const auto known = previous->find(key);
        if (known == previous->end() || known->second != current->at(key)) {
            *set.Add() = item;
        }
    }
    for (const auto &[key, bytes] : *previous) {
        if (!current->contains(key)) {
            *removed.Add() = key;
        }
    }
    return true;
}

template<typename Item>
Items<Item> itemsAfterChange(const Items<Item> &before, const Items<Item> &set, const Items<std::string> &removed)
{
    std::unordered_set<std::string> replacedKeys(removed.begin(), removed.end());
    for (const Item &item : set) {
        replacedKeys.insert(keyOf(item));
    }
    Items<Item> items;
    items.Reserve(before.size() + set.size());
    for (const Item &item : before) {
        if (replacedKeys.empty() || !replacedKeys.contains(keyOf(item))) {
            *items.Add() = item;
        }
    }
    items.MergeFrom(set);
    return items;
}

template<typename Item>
std::uint64_t checksumSum(const Items<Item> &items)
{
    std::uint64_t sum = 0;
    for (const Item &item : items) {
        sum += checksum(item.SerializeAsString());
    }
    return sum;
}

/// Checksum of the content that does not depend on the order of the items.
std::uint64_t contentChecksum(const v1::RouteTable &table)
{
    return checksumSum(table.routes()) + checksumSum(table.services()) + checksumSum(table.organisations());
}

}

std::optional<v1::RouteTableChange> diffRouteTables(const v1::RouteTable &before, const v1::RouteTable &after)
{
    v1::RouteTableChange change;
    const bool comparable = appendDifferences(before.routes(), after.routes(), *change.mutable_routes(), *change.mutable_removed_routes())
        && appendDifferences(before.services(), after.services(), *change.mutable_services(), *change.mutable_removed_services())
        && appendDifferences(before.organisations(), after.organisations(), *change.mutable_organisations(), *change.mutable_removed_organisations());
    if (!comparable) {
        return {};
    }
    change.set_version(after.version());
    change.set_content_checksum(contentChecksum(after));
    return change;
}

Result<v1::RouteTable> applyRouteTableChange(const v1::RouteTable &before, const v1::RouteTableChange &change)
{
    v1::RouteTable after;
    after.set_version(change.version());
    *after.mutable_routes() = itemsAfterChange(before.routes(), change.routes(), change.removed_routes());
    *after.mutable_services() = itemsAfterChange(before.services(), change.services(), change.removed_services());
    *after.mutable_organisations() = itemsAfterChange(before.organisations(), change.organisations(), change.removed_organisations());
    if (contentChecksum(after) != change.content_checksum()) {
        return Error{ErrorKind::Invalid, "the change was made for another route table: request the whole table"};
    }
    return after;
}

}
