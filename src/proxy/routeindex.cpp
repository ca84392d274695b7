#include "proxy/routeindex.h"

#include "common/hash.h"

#include <set>
#include <unordered_set>

namespace cumindyke
{

namespace
{

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += ' ';
    key += prefix;
    return key;
}

Error invalid(const std::string &message)
{
    return Error{ErrorKind::Invalid, message};
}

Result<Done> checkRoute(const v1::Route &route, const std::set<std::string> &services)
{
    const std::string where = "route '" + route.name() + "': ";
    if (route.path_prefix().empty() || route.path_prefix().front() != '/' || route.path_prefix().back() != '/') {
        return invalid(where + "the path prefix must begin and end with a slash");
    }
    if (route.timeout_ms() == 0) {
        return invalid(where + "the timeout is 0: set it to at least 1 ms");
    }
    std::uint64_t totalWeight = 0;
    for (const v1::WeightedService &weighted : route.services()) {
        if (!services.contains(weighted.service())) {
            return invalid(where + "there is no service '" + weighted.service() + "': add it or correct the name");
        }
        totalWeight += weighted.weight();
    }
    if (totalWeight == 0) {
        return invalid(where + "the weights of its services add up to 0: give one of them a weight");
    }
    return Done{};
}

}

Result<Done> checkRouteTable(const v1::RouteTable &table)
{
    std::set<std::string> services;
    for (const v1::RoutedService &service : table.services()) {
        services.insert(service.name());
    }
    std::unordered_set<std::string> routeKeys;
    for (const v1::Route &route : table.routes()) {
        if (Result<Done> checked = checkRoute(route, services); !ok(checked)) {
            return checked;
        }
        if (!routeKeys.insert(routeKey(route.host(), route.path_prefix())).second) {
            return invalid("route '" + route.name() + "': another route has the same host and path prefix: remove one of them");
        }
    }
    std::unordered_map<std::string, std::string> organisationsByKeyHash;
    for (const v1::RoutedOrganisation &organisation : table.organisations()) {
        for (const std::string &key : organisation.key_sha256()) {
            const auto [holder, isNew] = organisationsByKeyHash.emplace(key, organisation.name());
            if (!isNew && holder->second != organisation.name()) {
                return invalid("organisations '" + holder->second + "' and '" + organisation.name() + "' share a key: give each its own");
            }
        }
    }
    return Done{};
}

RouteIndex::RouteIndex(std::shared_ptr<const v1::RouteTable> table)
    : m_table(std::move(table))
{
    for (const v1::Route &route : m_table->routes()) {
        m_routes.emplace(routeKey(route.host(), route.path_prefix()), &route);
    }
    for (const v1::RoutedOrganisation &organisation : m_table->organisations()) {
        for (const std::string &key : organisation.key_sha256()) {
            m_organisationsByKeyHash.emplace(key, &organisation);
        }
    }
    for (const v1::RoutedService &service : m_table->services()) {
        m_services.emplace(service.name(), &service);
    }
}

const v1::Route *RouteIndex::find(std::string_view host, std::string_view path) const
{
    // Every prefix ends with a slash, so only the parts of the path up to a slash can match; the longest is tested first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = m_routes.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != m_routes.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const v1::RoutedOrganisation *RouteIndex::organisationOfKey(std::string_view apiKey) const
{
    if (apiKey.empty()) {
        // A request without the header; no organisation may be chosen by that, whatever its keys are.
        return nullptr;
    }
    const auto found = m_organisationsByKeyHash.find(hashKey(apiKey).value);
    return found == m_organisationsByKeyHash.end() ? nullptr : found->second;
}

const v1::RoutedService *RouteIndex::service(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

}
