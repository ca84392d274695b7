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

/// The items by key, serialized; none when two have the same key.
template<typename Item>
std::optional<std::unordered_map<std::string, std::string>> byKey(const Items<Item> &items)
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

/// Fills in what was set and what was removed. False when an item can't be told from another.
template<typename Item>
bool compare(const Items<Item> &before, const Items<Item> &after, Items<Item> &set, Items<std::string> &removed)
{
    const auto old = byKey(before);
    const auto fresh = byKey(after);
    if (!old || !fresh) {
        return false;
    }
    for (const Item &item : after) {
        const std::string key = keyOf(item);
        const auto known = old->find(key);
        if (known == old->end() || known->second != fresh->at(key)) {
            *set.Add() = item;
        }
    }
    for (const auto &[key, bytes] : *old) {
        if (!fresh->contains(key)) {
            *removed.Add() = key;
        }
    }
    return true;
}

template<typename Item>
Items<Item> changed(const Items<Item> &before, const Items<Item> &set, const Items<std::string> &removed)
{
    std::unordered_set<std::string> gone(removed.begin(), removed.end());
    for (const Item &item : set) {
        gone.insert(keyOf(item));
    }
    Items<Item> items;
    items.Reserve(before.size() + set.size());
    for (const Item &item : before) {
        if (gone.empty() || !gone.contains(keyOf(item))) {
            *items.Add() = item;
        }
    }
    items.MergeFrom(set);
    return items;
}

template<typename Item>
std::uint64_t sumOf(const Items<Item> &items)
{
    std::uint64_t sum = 0;
    for (const Item &item : items) {
        sum += checksum(item.SerializeAsString());
    }
    return sum;
}

/// The same for the same items in any order.
std::uint64_t contentChecksum(const v1::RouteTable &table)
{
    return sumOf(table.routes()) + sumOf(table.services()) + sumOf(table.organisations());
}

}

std::optional<v1::RouteTableChange> changeBetween(const v1::RouteTable &before, const v1::RouteTable &after)
{
    v1::RouteTableChange change;
    const bool told = compare(before.routes(), after.routes(), *change.mutable_routes(), *change.mutable_removed_routes())
        && compare(before.services(), after.services(), *change.mutable_services(), *change.mutable_removed_services())
        && compare(before.organisations(), after.organisations(), *change.mutable_organisations(), *change.mutable_removed_organisations());
    if (!told) {
        return {};
    }
    change.set_version(after.version());
    change.set_content_checksum(contentChecksum(after));
    return change;
}

Result<v1::RouteTable> withChange(const v1::RouteTable &before, const v1::RouteTableChange &change)
{
    v1::RouteTable after;
    after.set_version(change.version());
    *after.mutable_routes() = changed(before.routes(), change.routes(), change.removed_routes());
    *after.mutable_services() = changed(before.services(), change.services(), change.removed_services());
    *after.mutable_organisations() = changed(before.organisations(), change.organisations(), change.removed_organisations());
    if (contentChecksum(after) != change.content_checksum()) {
        return Error{ErrorKind::Invalid, "the change was made for another route table: ask for the whole one"};
    }
    return after;
}

}
