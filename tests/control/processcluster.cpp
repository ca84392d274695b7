#include "control/processcluster.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

namespace cumindyke::test
{

namespace
{

constexpr int FirstLinkHost = 40;

}

ProcessCluster::ProcessCluster(int daemons)
    : m_count(daemons)
{
    for (int from = 1; from <= m_count; ++from) {
        std::string settings = "replicas = [\"vm-1\"]\n";
        for (int to = 1; to <= m_count; ++to) {
            if (to == from) {
                continue;
            }
            const Address link{m_network.host(FirstLinkHost + from * m_count + to), 8081};
            m_links[{from, to}] = std::make_unique<Link>(link, Address{m_network.host(to), 8081});
            settings += "[[peer]]\nvm = \"vm-" + std::to_string(to) + "\"\nrpc_address = \"" + toString(link) + "\"\n";
        }
        m_daemons.push_back(std::make_unique<DaemonProcess>(m_folder, "vm-" + std::to_string(from), m_network.host(from), settings));
    }
}

bool ProcessCluster::ready(int vm) const
{
    return http(Address{m_network.host(vm), 8080}, "GET", "/readyz").status == 200;
}

bool ProcessCluster::waitAllReady() const
{
    return eventually([this] {
        for (int vm = 1; vm <= m_count; ++vm) {
            if (!ready(vm)) {
                return false;
            }
        }
        return true;
    });
}

void ProcessCluster::setLinks(int vm, Link::Mode mode)
{
    for (const auto &[ends, link] : m_links) {
        if (ends.first == vm || ends.second == vm) {
            link->setMode(mode);
        }
    }
}

void ProcessCluster::stallOpenConnections(int vm)
{
    for (const auto &[ends, link] : m_links) {
        if (ends.first == vm || ends.second == vm) {
            link->stallOpenConnections();
        }
    }
}

std::string ProcessCluster::declarations(int organisations)
{
    std::string toml = "[[tier]]\nname = \"committee\"\nrank = 0\n";
    for (int i = 0; i < organisations; ++i) {
        toml += "[[organisation]]\nname = \"organisation-" + std::to_string(i) + "\"\nhighest_tier = \"committee\"\n";
    }
    return toml;
}

ProcessResult ProcessCluster::apply(int vm, int organisations, std::vector<std::string> extraArguments)
{
    const TemporaryFolder folder;
    writeFile(folder.file("office.toml"), declarations(organisations));
    extraArguments.insert(extraArguments.begin(), {"apply", folder.path()});
    return daemon(vm).ctl(std::move(extraArguments));
}

std::uint64_t ProcessCluster::revisionOn(int vm)
{
    const ProcessResult got = daemon(vm).ctl({"get", "--output", "json"});
    const auto json = nlohmann::json::parse(got.out, nullptr, false);
    return json.is_discarded() ? 0 : std::stoull(json.value("revision", "0"));
}

}
