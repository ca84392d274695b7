#include "raft/replicacluster.h"

#include "ctl/client.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>

namespace cumindyke::test
{

namespace
{

constexpr std::chrono::milliseconds CallTimeout{3000};

int numberOf(const std::string &vm)
{
    return std::stoi(vm.substr(3));
}

}

ReplicaCluster::ReplicaCluster(int daemons, int replicas, const std::string &extraSettings)
{
    std::string names;
    for (int vm = 1; vm <= replicas; ++vm) {
        names += std::string(vm == 1 ? "" : ", ") + "\"vm-" + std::to_string(vm) + "\"";
    }
    for (int self = 1; self <= daemons; ++self) {
        std::string settings = extraSettings;
        settings.append("replicas = [").append(names).append("]\n");
        for (int peer = 1; peer <= daemons; ++peer) {
            if (peer != self) {
                settings += "[[peer]]\nvm = \"vm-" + std::to_string(peer) + "\"\nrpc_address = \"" + m_network.host(peer) + ":8081\"\n";
            }
        }
        m_daemons.push_back(std::make_unique<DaemonProcess>(m_folder, "vm-" + std::to_string(self), m_network.host(self), settings));
    }
}

std::vector<int> ReplicaCluster::running() const
{
    std::vector<int> vms;
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i]->process().running()) {
            vms.push_back(static_cast<int>(i) + 1);
        }
    }
    return vms;
}

void ReplicaCluster::kill(int vm)
{
    daemon(vm).process().signal(SIGKILL);
    daemon(vm).process().wait();
}

void ReplicaCluster::restart(int vm)
{
    daemon(vm).start();
}

void ReplicaCluster::wipe(int vm)
{
    std::filesystem::remove_all(folder(vm));
}

v1::MembersReply ReplicaCluster::members() const
{
    for (const int vm : running()) {
        const auto reply = OperatorClient(m_daemons[static_cast<std::size_t>(vm - 1)]->rpc(), CallTimeout).members();
        if (ok(reply)) {
            return valueOf(reply);
        }
    }
    return {};
}

int ReplicaCluster::leader() const
{
    const v1::MembersReply reply = members();
    for (const v1::Member &member : reply.members()) {
        if (member.leader()) {
            return numberOf(member.vm());
        }
    }
    return 0;
}

std::set<int> ReplicaCluster::voters() const
{
    std::set<int> voters;
    const v1::MembersReply reply = members();
    for (const v1::Member &member : reply.members()) {
        if (member.replica()) {
            voters.insert(numberOf(member.vm()));
        }
    }
    return voters;
}

std::uint64_t ReplicaCluster::change(int number)
{
    v1::ApplyRequest request;
    request.set_command_id("change-" + std::to_string(number));
    request.set_base_revision(m_revision);
    if (m_revision == 0) {
        request.add_changes()->mutable_tier()->set_name("committee");
    }
    v1::Organisation &organisation = *request.add_changes()->mutable_organisation();
    organisation.set_name("organisation-" + std::to_string(number));
    organisation.set_highest_tier("committee");
    REQUIRE(eventually([&] {
        const std::vector<int> vms = running();
        const int contacted = vms[m_nextContacted++ % vms.size()];
        const auto reply = OperatorClient(daemon(contacted).rpc(), CallTimeout).apply(request);
        if (!ok(reply)) {
            return false;
        }
        INFO(valueOf(reply).DebugString());
        REQUIRE(valueOf(reply).outcome() == v1::CommandReply::ACCEPTED);
        m_revision = valueOf(reply).revision();
        return true;
    }));
    return m_revision;
}

std::vector<std::string> ReplicaCluster::history() const
{
    std::vector<std::string> ids;
    REQUIRE(eventually([&] {
        for (const int vm : running()) {
            const auto reply = OperatorClient(m_daemons[static_cast<std::size_t>(vm - 1)]->rpc(), CallTimeout).history({});
            if (!ok(reply)) {
                continue;
            }
            ids.clear();
            for (const v1::HistoryEntry &entry : valueOf(reply).entries()) {
                ids.push_back(entry.command_id());
            }
            return true;
        }
        return false;
    }));
    return ids;
}

}
