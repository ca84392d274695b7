#pragma once

#include "fakeplatform/platformsystem.h"
#include "platform/instancelist.h"
#include "platform/platformadapter.h"
#include "platform/routedocument.h"
#include "proxy/proxytask.h"
#include "support/hangingaddress.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace cumindyke::test
{

constexpr std::uint16_t RelayPort = 7614;

/// How a cut VM's connections to upstreams fail.
enum class Cut {
    None,
    Refused,
    Hangs,
    PartlyRefused,
    Slow, ///< none fails, but the VM's event loop is busy with each for 20 ms
};

/// Entry VMs in this process, with real sockets: each can be cut off from all upstreams while callers and the other VMs reach it.
class EntryVmTasks
{
public:
    explicit EntryVmTasks(int count,
                          int upstreamCount = 4,
                          v1::RouteKind draftsKind = v1::STREAMING,
                          std::size_t bufferBudgetBytes = 0,
                          std::uint32_t draftsAttempts = 1,
                          bool hasRelayLinks = false)
        : platform(network.host(FirstPlatformHost), "i-1", "desk", upstreamHosts(upstreamCount))
        , hanging(network.host(FirstPlatformHost - 1))
        , cuts(count)
        , m_bufferBudgetBytes(bufferBudgetBytes)
        , m_hasRelayLinks(hasRelayLinks)
    {
        auto routes = platform::parseRouteDocument(documentOf(1));
        REQUIRE(ok(routes));
        for (v1::Route &route : *valueOf(routes).mutable_routes()) {
            if (route.name() == "drafts") {
                route.set_kind(draftsKind);
                route.set_max_attempts(draftsAttempts);
            }
        }
        v1::FleetTally fleet;
        fleet.set_entry_vm_count(static_cast<std::uint32_t>(count));
        for (int vm = 0; vm < count; ++vm) {
            v1::PlacementVm &placement = *fleet.add_placement_vms();
            placement.set_vm(host(vm));
            placement.set_data_centre("z-a");
        }
        const Configuration configuration{
            .declarations = {},
            .moves = {},
            .routes = std::make_shared<const v1::RouteTable>(std::move(valueOf(routes))),
            .rollouts = {},
            .evacuated = {},
            .fleet = std::make_shared<const v1::FleetTally>(fleet),
            .suspects = {},
            .cells = {},
            .admitUntil = EventLoop::now() + std::chrono::hours(1),
            .leaseUntil = EventLoop::now() + std::chrono::hours(1),
        };
        for (int vm = 0; vm < count; ++vm) {
            cuts[static_cast<std::size_t>(vm)] = Cut::None;
            auto task = ProxyTask::open(options(vm), metrics);
            REQUIRE(ok(task));
            tasks.push_back(std::move(valueOf(task)));
            tasks.back()->start();
            tasks.back()->post(configuration);
        }
    }

    HttpAnswer request(int vm, const std::string &id, const std::string &target = "/deposits/a") const
    {
        return http(callerAddress(vm), "POST", target, callerHeaders(id), id);
    }
    Address callerAddress(int vm) const
    {
        return Address{.host = host(vm), .port = CallerPort};
    }
    bool isServed(int vm, const std::string &id) const
    {
        return request(vm, id).status == 200;
    }
    int servedCount(int vm, const std::string &prefix, int count) const
    {
        int served = 0;
        for (int i = 0; i < count; ++i) {
            served += isServed(vm, prefix + std::to_string(i)) ? 1 : 0;
        }
        return served;
    }
    /// Number of times that upstreams ran a request.
    std::size_t runs(const std::string &id) const
    {
        const std::vector<SeenRequest> seen = platform.seen();
        return static_cast<std::size_t>(std::ranges::count_if(seen, [&id](const SeenRequest &run) { return run.header("Cumindyke-Request-Id") == id; }));
    }

    /// Whether an entry VM has reported that an upstream ended while it ran the request.
    bool isReported(const std::string &target, const std::string &body) const
    {
        const RequestContent content{.organisation = "ensemble", .method = "POST", .host = "desk.example", .target = target, .body = body};
        const std::lock_guard lock(m_mutex);
        return m_reported.contains(content.fingerprint().value);
    }

    TestNetwork network;
    FakePlatform platform;
    HangingAddress hanging;
    Metrics metrics;
    std::vector<std::atomic<Cut>> cuts;
    std::vector<std::unique_ptr<ProxyTask>> tasks;

    /// Where a VM listens for the others.
    Address relayAddress(int vm) const
    {
        return Address{.host = host(vm), .port = static_cast<std::uint16_t>(m_hasRelayLinks ? RelayPort + vm : RelayPort)};
    }

private:
    void recordReports(const Proposal &proposal)
    {
        const std::lock_guard lock(m_mutex);
        for (const v1::CrashReport &crash : proposal.command.suspects().crashes()) {
            m_reported.insert(crash.fingerprint());
        }
    }
    std::string host(int vm) const
    {
        return network.host(vm + 1);
    }
    std::vector<std::string> upstreamHosts(int count) const
    {
        std::vector<std::string> hosts;
        for (int number = 1; number <= count; ++number) {
            hosts.push_back(network.host(FirstPlatformHost + number));
        }
        return hosts;
    }
    Address mapAddress(int vm, const Address &upstream) const
    {
        switch (cuts[static_cast<std::size_t>(vm)]) {
        case Cut::None:
            return upstream;
        case Cut::Slow:
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            return upstream;
        case Cut::Refused:
            return Address{.host = upstream.host, .port = 1};
        case Cut::Hangs:
            return hanging.address();
        case Cut::PartlyRefused:
            return upstream.host == network.host(FirstPlatformHost + 1) ? upstream : Address{.host = upstream.host, .port = 1};
        }
        return upstream;
    }
    ProxyOptions options(int vm)
    {
        const Adapter adapter = platform::makeAdapter();
        return ProxyOptions{
            .vm = VmName{host(vm)},
            .pool = UpstreamPoolOptions{.localDataCentre = DataCentreName{"z-a"}},
            .address = Address{.host = host(vm), .port = CallerPort},
            .readinessAddress = Address{.host = host(vm), .port = ReadinessPort},
            .readinessPath = adapter.readinessPath,
            .headers = adapter.headers,
            .list = adapter.instanceList(platform.address()),
            .balancerDetectionTime = {},
            .refusalTime = {},
            .datagrams = Address{.host = host(vm), .port = PeerPort},
            .relayAddress = relayAddress(vm),
            .mapAddress = [this, vm](const Address &upstream) { return mapAddress(vm, upstream); },
            .bufferBudgetBytes = m_bufferBudgetBytes,
            .sendTally = [](const v1::EntryTally &) {},
            .propose = [this](const Proposal &proposal) { recordReports(proposal); },
        };
    }

    const std::size_t m_bufferBudgetBytes;
    /// A VM asks the others for relayed connections at its own relay port, so that a link can stand between this address and that where the other one listens.
    const bool m_hasRelayLinks;
    mutable std::mutex m_mutex;
    std::set<std::uint64_t> m_reported;
};

}
