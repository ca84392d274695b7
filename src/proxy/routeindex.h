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

/// Checks the rules that a table must keep before it may be published: every route names known services with some weight, no two share
/// host and prefix, none has a timeout of 0, and no key belongs to two organisations. Error: Invalid, with the remedy.
Result<Done> checkRouteTable(const v1::RouteTable &table);

/// Finds routes and organisations of one table. Immutable: a new table gets a new index.
class RouteIndex
{
public:
    explicit RouteIndex(std::shared_ptr<const v1::RouteTable> table);

    /// The route with the longest prefix of the path on this host; null when there is none. "path" is without the query.
    const v1::Route *find(std::string_view host, std::string_view path) const;
    /// The organisation that holds the key; null when none does.
    const v1::RoutedOrganisation *organisationOfKey(std::string_view apiKey) const;
    const v1::RoutedService *service(const std::string &name) const;
    /// Callers need a key on routes that are not open to all.
    bool requiresKeys() const
    {
        return m_table->organisations_size() > 0;
    }
    const v1::RouteTable &table() const
    {
        return *m_table;
    }

private:
    std::shared_ptr<const v1::RouteTable> m_table;
    /// By host and prefix, joined by a space.
    std::unordered_map<std::string, const v1::Route *> m_routes;
    std::unordered_map<std::string, const v1::RoutedOrganisation *> m_organisationsByKeyHash;
    std::unordered_map<std::string, const v1::RoutedService *> m_services;
};

}
