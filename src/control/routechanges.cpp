#include "control/routechanges.h"

#include "common/hash.h"

#include <algorithm>
#include <string_view>
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

using Keys = Items<std::string>;

bool isAscending(const Keys &keys)
{
    return std::ranges::adjacent_find(keys, std::ranges::greater_equal()) == keys.end();
}

/// Returns the keys that are not among the others, in ascending order; both are in ascending order.
Keys keysWithout(const Keys &keys, const Keys &others)
{
    Keys remaining;
    std::set_difference(keys.begin(), keys.end(), others.begin(), others.end(), google::protobuf::RepeatedFieldBackInserter(&remaining));
    return remaining;
}

/// Returns no value if the organisation is smaller than its change, or if its keys are in no order, which a change could not restore.
std::optional<v1::OrganisationChange> diffOrganisations(const v1::RoutedOrganisation &before, const v1::RoutedOrganisation &after)
{
    const Keys &oldKeys = before.key_sha256();
    const Keys &newKeys = after.key_sha256();
    if (!isAscending(oldKeys) || !isAscending(newKeys)) {
        return {};
    }
    v1::OrganisationChange change;
    *change.mutable_added_keys() = keysWithout(newKeys, oldKeys);
    *change.mutable_removed_keys() = keysWithout(oldKeys, newKeys);
    if (change.added_keys_size() + change.removed_keys_size() >= newKeys.size()) {
        return {};
    }
    *change.mutable_organisation() = after;
    change.mutable_organisation()->clear_key_sha256();
    return change;
}

using OrganisationsByName = std::unordered_map<std::string_view, const v1::RoutedOrganisation *>;

OrganisationsByName byName(const Items<v1::RoutedOrganisation> &organisations)
{
    OrganisationsByName found;
    for (const v1::RoutedOrganisation &organisation : organisations) {
        found.emplace(organisation.name(), &organisation);
    }
    return found;
}

/// Replaces each organisation in the change by the difference to its former version where that is smaller.
void shrinkOrganisations(const Items<v1::RoutedOrganisation> &before, v1::RouteTableChange &change)
{
    const OrganisationsByName formerOrganisations = byName(before);
    Items<v1::RoutedOrganisation> whole;
    for (v1::RoutedOrganisation &organisation : *change.mutable_organisations()) {
        const auto former = formerOrganisations.find(organisation.name());
        std::optional<v1::OrganisationChange> difference
            = former == formerOrganisations.end() ? std::nullopt : diffOrganisations(*former->second, organisation);
        if (difference) {
            *change.add_organisation_changes() = std::move(*difference);
        } else {
            *whole.Add() = std::move(organisation);
        }
    }
    change.mutable_organisations()->Swap(&whole);
}

/// Returns the organisations that the change sets, with all their keys. An organisation that "before" does not have gets the added keys only, which the
/// checksum of the table reveals.
Items<v1::RoutedOrganisation> organisationsSetBy(const v1::RouteTableChange &change, const Items<v1::RoutedOrganisation> &before)
{
    const OrganisationsByName formerOrganisations = byName(before);
    Items<v1::RoutedOrganisation> organisations = change.organisations();
    for (const v1::OrganisationChange &difference : change.organisation_changes()) {
        v1::RoutedOrganisation &organisation = *organisations.Add();
        organisation = difference.organisation();
        const auto former = formerOrganisations.find(organisation.name());
        const Keys kept = former == formerOrganisations.end() ? Keys{} : keysWithout(former->second->key_sha256(), difference.removed_keys());
        std::merge(kept.begin(),
                   kept.end(),
                   difference.added_keys().begin(),
                   difference.added_keys().end(),
                   google::protobuf::RepeatedFieldBackInserter(organisation.mutable_key_sha256()));
    }
    return organisations;
}

/// Checksum of the content that does not depend on the order of the items.
std::uint64_t contentChecksum(const v1::RouteTable &table)
{
    const std::uint64_t items = checksumSum(table.routes()) + checksumSum(table.services()) + checksumSum(table.organisations());
    return table.requires_keys() ? items + checksum("requires_keys") : items;
}

}

std::optional<v1::RouteTableChange> diffRouteTables(const v1::RouteTable &before, const v1::RouteTable &after)
{
    v1::RouteTableChange change;
    const bool comparable = before.requires_keys() == after.requires_keys()
        && appendDifferences(before.routes(), after.routes(), *change.mutable_routes(), *change.mutable_removed_routes())
        && appendDifferences(before.services(), after.services(), *change.mutable_services(), *change.mutable_removed_services())
        && appendDifferences(before.organisations(), after.organisations(), *change.mutable_organisations(), *change.mutable_removed_organisations());
    if (!comparable) {
        return {};
    }
    shrinkOrganisations(before.organisations(), change);
    change.set_version(after.version());
    change.set_content_checksum(contentChecksum(after));
    return change;
}

Result<v1::RouteTable> applyRouteTableChange(const v1::RouteTable &before, const v1::RouteTableChange &change)
{
    v1::RouteTable after;
    after.set_version(change.version());
    after.set_requires_keys(before.requires_keys());
    *after.mutable_routes() = itemsAfterChange(before.routes(), change.routes(), change.removed_routes());
    *after.mutable_services() = itemsAfterChange(before.services(), change.services(), change.removed_services());
    *after.mutable_organisations()
        = itemsAfterChange(before.organisations(), organisationsSetBy(change, before.organisations()), change.removed_organisations());
    if (contentChecksum(after) != change.content_checksum()) {
        return Error{ErrorKind::Invalid, "the change was made for another route table: request the whole table"};
    }
    return after;
}

}
