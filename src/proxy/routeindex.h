#pragma once

#include "common/result.h"
#include "common/types.h"

#include "routing.pb.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cumindyke
{

/// Validates a route table before it is published: every route names known services with a total weight above 0, no two routes share host and prefix,
/// no route has a timeout of 0, and no key belongs to two organisations. Error: Invalid, with the remedy.
Result<Done> checkRouteTable(const v1::RouteTable &table);

/// Finds routes and organisations of one table. Immutable: a new table gets a new index.
class RouteIndex
{
public:
    explicit RouteIndex(std::shared_ptr<const v1::RouteTable> table);

    /// Returns the route with the longest prefix of the path on this host; null if there is none. "path" excludes the query.
    const v1::Route *find(std::string_view host, std::string_view path) const;
    /// Returns the organisation that the key belongs to; null if there is none.
    const v1::RoutedOrganisation *organisationOfKey(std::string_view apiKey) const;
    const v1::RoutedService *service(const std::string &name) const;
    /// Whether callers need a key on routes that are not open to all.
    bool requiresKeys() const
    {
        return m_table->organisations_size() > 0 || m_table->requires_keys();
    }
    const v1::RouteTable &table() const
    {
        return *m_table;
    }

private:
    std::shared_ptr<const v1::RouteTable> m_table;
    /// By host and prefix, separated by a space.
    std::unordered_map<std::string, const v1::Route *> m_routes;
    std::unordered_map<std::string, const v1::RoutedOrganisation *> m_organisationsByKeyHash;
    std::unordered_map<std::string, const v1::RoutedService *> m_services;
};

}
