#include "control/distributionrig.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace cumindyke::test
{

namespace
{

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration TickInterval = std::chrono::milliseconds(50);

Duration transmissionTime(std::size_t bytes, double bytesPerSecond)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(bytes) * 1e6 / bytesPerSecond));
}

std::string randomName(std::mt19937_64 &random, std::size_t length)
{
    constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string name;
    for (std::size_t i = 0; i < length; ++i) {
        name += Letters[random() % Letters.size()];
    }
    return name;
}

}

DistributionRig::DistributionRig(DistributionRigOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_vms(static_cast<std::size_t>(options.coreVms + options.entryVms))
{
    for (int i = 0; i < size(); ++i) {
        vm(i).bytesPerSecond = i < m_options.coreVms ? m_options.coreBytesPerSecond : m_options.entryBytesPerSecond;
        vm(i).nextHeartbeatAt = m_now + Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(HeartbeatInterval.count())));
        vm(i).follower = newFollower(i);
    }
    elect(0);
}

std::unique_ptr<Follower> DistributionRig::newFollower(int number)
{
    return std::make_unique<Follower>(FollowerOptions{
        .vm = nameOf(number),
        .dataCentre = DataCentreName{"dc"},
        .incarnation = m_random() >> 1,
        .keepAdmitting = Duration::zero(),
    });
}

void DistributionRig::restartFollowers(Duration within)
{
    for (int i = 0; i < size(); ++i) {
        vm(i).bytesSent = 0;
        vm(i).updatePeers.clear();
        if (i == m_leader) {
            continue;
        }
        vm(i).follower = newFollower(i);
        vm(i).nextHeartbeatAt = m_now + Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(within.count())));
    }
}

VmName DistributionRig::nameOf(int vm)
{
    return VmName{std::to_string(vm)};
}

int DistributionRig::numberOf(const VmName &name)
{
    return std::stoi(name.value);
}

void DistributionRig::elect(int number)
{
    m_leader = number;
    m_leadership = std::make_unique<Leadership>(LeadershipOptions{
                                                    .vm = nameOf(number),
                                                    .vms = {},
                                                    .lease = {},
                                                    .send = senderOf(number),
                                                    .hasQuorum = [](TimePoint) { return true; },
                                                    .replicas = [this] { return replicas(); },
                                                },
                                                m_state);
    m_leadership->startLeading(m_now);
}

SendEnvelope DistributionRig::senderOf(int number)
{
    return [this, number](const VmName &to, v1::Envelope envelope) { send(number, to, std::move(envelope)); };
}

google::protobuf::RepeatedPtrField<std::string> DistributionRig::replicas() const
{
    google::protobuf::RepeatedPtrField<std::string> names;
    for (int i = 0; i < m_options.coreVms; ++i) {
        *names.Add() = nameOf(i).value;
    }
    return names;
}

void DistributionRig::makeUnreachable(int number)
{
    vm(number).unreachable = true;
}

void DistributionRig::publish(const v1::RouteTable &table)
{
    v1::Command command;
    command.set_command_id("publish-" + std::to_string(table.version()));
    *command.mutable_publish_routes() = packPublication(table, {});
    REQUIRE(m_state.apply(command).reply().outcome() == v1::CommandReply::ACCEPTED);
    m_publishedAt = m_now;
    m_publishedVersion = table.version();
    for (Vm &vm : m_vms) {
        vm.bytesSent = 0;
        vm.updatePeers.clear();
        vm.peakBufferedBytes = vm.budget->held();
        vm.inForceAfter = Duration::max();
    }
    m_leadership->publishIfChanged(m_now);
}

std::uint64_t DistributionRig::routesOn(int vm) const
{
    const auto &routes = follower(vm).routes();
    return routes ? routes->version() : 0;
}

std::vector<Duration> DistributionRig::timesInForce() const
{
    std::vector<Duration> times;
    for (const Vm &vm : m_vms) {
        if (!vm.unreachable) {
            times.push_back(std::min(vm.inForceAfter, m_now - m_publishedAt));
        }
    }
    std::ranges::sort(times);
    return times;
}

std::size_t DistributionRig::maxBytesFromEntryVm() const
{
    std::size_t maxBytes = 0;
    for (std::size_t i = static_cast<std::size_t>(m_options.coreVms); i < m_vms.size(); ++i) {
        maxBytes = std::max(maxBytes, m_vms[i].bytesSent);
    }
    return maxBytes;
}

void DistributionRig::at(TimePoint time, std::function<void()> action)
{
    m_events.push(Event{.at = time, .number = ++m_eventCount, .action = std::move(action)});
}

void DistributionRig::send(int from, const VmName &to, v1::Envelope envelope)
{
    const int target = numberOf(to);
    if (from == target) {
        at(m_now, [this, from, envelope = std::move(envelope)] { deliver(from, from, envelope); });
        return;
    }
    Vm &sender = vm(from);
    if (envelope.has_config_update()) {
        sender.updatePeers.insert(target);
    }
    sender.queues.try_emplace(target, sender.budget).first->second.push(std::move(envelope));
    sender.peakBufferedBytes = std::max(sender.peakBufferedBytes, sender.budget->held());
    startCalls(from, target);
}

void DistributionRig::startCalls(int from, int to)
{
    while (std::optional<OutgoingBatch> batch = vm(from).queues.at(to).next()) {
        startCall(from, to, std::move(*batch));
    }
}

void DistributionRig::startCall(int from, int to, OutgoingBatch batch)
{
    Vm &sender = vm(from);
    Vm &receiver = vm(to);
    const std::size_t bytes = batch.bytes;
    sender.bytesSent += bytes;
    sender.uplinkFreeAt = std::max(m_now, sender.uplinkFreeAt) + transmissionTime(bytes, sender.bytesPerSecond);
    const TimePoint arrival = std::max(sender.uplinkFreeAt + m_options.oneWayDelay, receiver.downlinkFreeAt) + transmissionTime(bytes, receiver.bytesPerSecond);
    const bool arrives = !sender.unreachable && !receiver.unreachable && arrival - m_now <= batch.timeout;
    if (!receiver.unreachable) {
        receiver.downlinkFreeAt = arrival;
    }
    const TimePoint end = arrives ? arrival + m_options.oneWayDelay : m_now + batch.timeout;
    if (arrives) {
        at(arrival, [this, from, to, envelopes = std::move(batch.envelopes)] {
            for (const v1::Envelope &envelope : envelopes) {
                deliver(from, to, envelope);
            }
        });
    }
    at(end, [this, from, to, lane = batch.lane] {
        vm(from).queues.at(to).endCall(lane);
        startCalls(from, to);
    });
}

void DistributionRig::deliver(int from, int to, const v1::Envelope &envelope)
{
    if (envelope.has_config_heartbeat() && to == m_leader) {
        m_leadership->handleHeartbeat(nameOf(from), envelope.config_heartbeat(), m_now);
    } else if (envelope.has_config_lease()) {
        vm(to).follower->handleLease(envelope.config_lease());
    } else if (envelope.has_config_update()) {
        handleUpdate(to, envelope.config_update());
    } else if (envelope.has_repair_order()) {
        carryOutRepairOrder(envelope.repair_order(), m_state, senderOf(to));
    }
}

void DistributionRig::handleUpdate(int number, const v1::ConfigUpdate &update)
{
    sendRelayed(update, {update.relay().begin(), update.relay().end()}, senderOf(number));
    Vm &record = vm(number);
    if (record.follower->applyUpdate(update) == Follower::UpdateResult::Outdated) {
        return;
    }
    if (routesOn(number) >= m_publishedVersion && record.inForceAfter == Duration::max()) {
        record.inForceAfter = m_now - m_publishedAt;
    }
    sendHeartbeat(number);
}

void DistributionRig::sendHeartbeat(int number)
{
    Vm &record = vm(number);
    record.nextHeartbeatAt = m_now + HeartbeatInterval;
    v1::Envelope envelope;
    *envelope.mutable_config_heartbeat() = record.follower->makeHeartbeat(m_now);
    send(number, nameOf(m_leader), std::move(envelope));
}

void DistributionRig::run(Duration time)
{
    const TimePoint end = m_now + time;
    for (; m_now < end; m_now += TickInterval) {
        const TimePoint next = m_now + TickInterval;
        for (int i = 0; i < size(); ++i) {
            if (vm(i).nextHeartbeatAt <= m_now) {
                sendHeartbeat(i);
            }
        }
        m_leadership->tick(m_now);
        const TimePoint tick = m_now;
        while (!m_events.empty() && m_events.top().at < next) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.at);
            event.action();
        }
        m_now = tick;
    }
}

v1::RouteTable routeTable(std::uint64_t version, int routes)
{
    constexpr int RoutesOnHost = 8;
    std::mt19937_64 random(1);
    v1::RouteTable table;
    table.set_version(version);
    table.add_services()->set_name("drafting");
    std::string host;
    for (int i = 0; i < routes; ++i) {
        if (i % RoutesOnHost == 0) {
            host = randomName(random, 6) + ".example";
        }
        v1::Route &route = *table.add_routes();
        route.set_name("r-" + randomName(random, 7));
        route.set_host(host);
        route.set_path_prefix("/" + randomName(random, 7) + "/");
        route.set_kind(v1::IDEMPOTENT);
        route.set_timeout_ms(4'000);
        route.set_objective_ms(300);
        route.set_priority(2);
        route.set_max_attempts(2);
        v1::WeightedService &weighted = *route.add_services();
        weighted.set_service("drafting");
        weighted.set_weight(1);
    }
    return table;
}

v1::RouteTable keyTable(std::uint64_t version, int organisations, int keysOfEach, int firstKey)
{
    constexpr int BytesOfHash = 32;
    v1::RouteTable table = routeTable(version, 8);
    for (int number = 0; number < organisations; ++number) {
        v1::RoutedOrganisation &organisation = *table.add_organisations();
        organisation.set_name("organisation-" + std::to_string(number));
        organisation.set_priority(1);
        // Only the first organisation's keys move on.
        const int first = number == 0 ? firstKey : 0;
        for (int key = first; key < first + keysOfEach; ++key) {
            std::mt19937_64 random(static_cast<std::uint64_t>(number) * 1'000'000 + static_cast<std::uint64_t>(key));
            std::string hash;
            for (int byte = 0; byte < BytesOfHash; ++byte) {
                constexpr std::string_view Digits = "0123456789abcdef";
                const std::uint64_t drawn = random();
                hash += Digits[drawn % Digits.size()];
                hash += Digits[drawn / Digits.size() % Digits.size()];
            }
            organisation.add_key_sha256(hash);
        }
        std::ranges::sort(*organisation.mutable_key_sha256());
    }
    return table;
}

}
