#include "placement/peerwaiting.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

/// A server with waiting requests sends a notice every 30 ms. With this time the loss of one notice does not end the leaving of slots, and a server that
/// sends none any more costs little.
constexpr Duration LeaveTime = std::chrono::milliseconds(60);
/// Longest time for which a notice is usually under way between data centres.
constexpr Duration MaxNoticeDelay = std::chrono::milliseconds(20);
/// Within a rank slots are left only for this gain: what is known of the other server's requests is as old as a notice, and with a smaller gain two queues
/// of equal length would exchange their slots for nothing.
constexpr Duration MinGain = std::chrono::milliseconds(50);
/// A server that uses none of the slots left to it for this long can't use them: its requests are bound to other regions or versions, for example. A
/// server that can use them sees them in the next notice, and its own next notice reports the use.
constexpr Duration MaxUnusedTime = std::chrono::milliseconds(150);
/// Nothing is left to such a server for the first of these times, and for twice as long each further time.
constexpr Duration MinClosedTime = std::chrono::seconds(1);
constexpr Duration MaxClosedTime = std::chrono::seconds(8);
/// Slots count as left without interruption between passes that are no further apart.
constexpr Duration MaxPassInterval = std::chrono::milliseconds(30);
constexpr Duration LogInterval = std::chrono::seconds(1);
constexpr int MaxReceivedEntries = 256;
/// An entry takes about 20 bytes of a datagram.
constexpr int MaxSentEntries = 32;
constexpr std::uint32_t MaxCount = 100'000;
constexpr std::int32_t MaxLatestStartMs = 600'000;

}

void PeerWaiting::handleNotice(const VmName &from, const v1::LoadNotice &notice, const std::map<ServiceName, std::uint64_t> &placedHere, TimePoint now)
{
    Peer &peer = m_peers[from];
    peer.lastReceivedAt = now;
    peer.waiting.clear();
    for (int i = 0; i < std::min(notice.waiting_size(), MaxReceivedEntries); ++i) {
        const v1::WaitingRequests &entry = notice.waiting(i);
        const std::int32_t latestStartMs = entry.latest_start_in_ms();
        if (entry.count() == 0 || entry.count() > MaxCount || latestStartMs > MaxLatestStartMs || latestStartMs < -MaxLatestStartMs) {
            continue;
        }
        const TimePoint latestStart = latestStartMs < 0 ? TimePoint::max() : now + std::chrono::milliseconds(latestStartMs);
        peer.waiting[ServiceName{entry.service()}].push_back(
            Waiting{.mostUrgent = {.rank = PriorityRank{entry.rank()}, .latestStart = latestStart}, .count = entry.count()});
    }
    for (const auto &[service, count] : placedHere) {
        const auto found = peer.uses.find(service);
        if (count == 0 || found == peer.uses.end()) {
            continue;
        }
        Use &use = found->second;
        const std::uint32_t used = static_cast<std::uint32_t>(std::min<std::uint64_t>(use.left, count));
        m_report.used += used;
        use.left -= used;
        use.unusedFor = {};
        use.closedUntil = {};
        use.nextClosedFor = MinClosedTime;
    }
}

void PeerWaiting::writeNotice(const ServiceName &service, const std::vector<Waiting> &waiting, v1::LoadNotice &notice, TimePoint now)
{
    std::deque<Reported> &reported = m_reported[service];
    while (!reported.empty() && now - reported.front().sentAt > LeaveTime + MaxNoticeDelay) {
        reported.pop_front();
    }
    bool isFirst = true;
    for (const Waiting &entry : waiting) {
        if (notice.waiting_size() >= MaxSentEntries) {
            return;
        }
        v1::WaitingRequests &written = *notice.add_waiting();
        written.set_service(service.value);
        written.set_rank(entry.mostUrgent.rank.value);
        written.set_count(entry.count);
        const Duration latestStartIn = entry.mostUrgent.latestStart == TimePoint::max() ? std::chrono::milliseconds(-1) : entry.mostUrgent.latestStart - now;
        written.set_latest_start_in_ms(static_cast<std::int32_t>(std::min<std::int64_t>(wholeMilliseconds(latestStartIn), MaxLatestStartMs)));
        if (std::exchange(isFirst, false)) {
            // As the receivers understand it: in whole milliseconds.
            Urgency mostUrgent = entry.mostUrgent;
            if (mostUrgent.latestStart != TimePoint::max()) {
                mostUrgent.latestStart = now + std::chrono::milliseconds(written.latest_start_in_ms());
            }
            reported.push_back(Reported{.sentAt = now, .mostUrgent = mostUrgent});
        }
    }
}

bool PeerWaiting::isOpen(const VmName &vm, const Peer &peer, const ServiceName &service, TimePoint now) const
{
    if (now - peer.lastReceivedAt > LeaveTime) {
        return false;
    }
    const auto use = peer.uses.find(service);
    if (use != peer.uses.end() && now < use->second.closedUntil) {
        return false;
    }
    const auto dataCentre = m_dataCentres.find(vm);
    return dataCentre == m_dataCentres.end() || !m_evacuated.contains(dataCentre->second);
}

/// Two servers that leave their slots to each other would both be idle. The other one acts on a notice of this server that is up to LeaveTime and its
/// transmission old, while the request reported in it may have a slot by now. Therefore nothing is left to a server unless its request is more urgent than
/// the ones in all of these notices: as the servers compare the same two notices, at most one of them finds the other's more urgent.
bool PeerWaiting::mayBeLeftTo(const ServiceName &service, const Urgency &peer, TimePoint now) const
{
    const auto found = m_reported.find(service);
    return found == m_reported.end() || std::ranges::all_of(found->second, [&](const Reported &reported) {
               return now - reported.sentAt > LeaveTime + MaxNoticeDelay || peer < reported.mostUrgent;
           });
}

/// A free remote slot is seen by all servers whose requests wait. Without the minimum gain, only the one with the most urgent request takes it. With it, two of
/// them often took the same slot, and the engine refused one request.
std::vector<PeerWaiting::Claim> PeerWaiting::claimsBefore(const ServiceName &service, const Urgency &request, SlotLocation location, TimePoint now) const
{
    const TimePoint mustStartBefore = location == SlotLocation::Local ? request.latestStart - MinGain : request.latestStart - std::chrono::milliseconds(1);
    std::vector<Claim> claims;
    for (const auto &[vm, peer] : m_peers) {
        const auto waiting = peer.waiting.find(service);
        if (waiting == peer.waiting.end() || !isOpen(vm, peer, service, now)) {
            continue;
        }
        Claim claim{.mostUrgent = {}, .vm = &vm};
        for (const Waiting &entry : waiting->second) {
            const auto &[rank, latestStart] = entry.mostUrgent;
            const bool isHigherRank = rank < request.rank;
            const bool isLate = latestStart == TimePoint::max() || latestStart < now;
            const bool isEarlier = rank == request.rank && !isLate && latestStart <= mustStartBefore;
            if ((!isHigherRank && !isEarlier) || (location == SlotLocation::Local && !mayBeLeftTo(service, entry.mostUrgent, now))) {
                continue;
            }
            claim.mostUrgent = claim.count == 0 ? entry.mostUrgent : std::min(claim.mostUrgent, entry.mostUrgent);
            claim.count += entry.count;
        }
        if (claim.count > 0) {
            claims.push_back(claim);
        }
    }
    return claims;
}

bool PeerWaiting::anyWaiting(const ServiceName &service, TimePoint now) const
{
    return std::ranges::any_of(m_peers,
                               [&](const auto &pair) { return pair.second.waiting.contains(service) && isOpen(pair.first, pair.second, service, now); });
}

std::uint32_t PeerWaiting::slotsToLeave(const ServiceName &service, const Urgency &request, SlotLocation location, TimePoint now) const
{
    std::uint32_t count = 0;
    for (const Claim &claim : claimsBefore(service, request, location, now)) {
        count += claim.count;
    }
    return count;
}

void PeerWaiting::recordLeft(const ServiceName &service, const Urgency &request, std::uint32_t free, TimePoint now)
{
    std::vector<Claim> claims = claimsBefore(service, request, SlotLocation::Local, now);
    std::ranges::sort(claims, {}, [](const Claim &claim) { return std::pair(claim.mostUrgent, *claim.vm); });
    for (const Claim &claim : claims) {
        const std::uint32_t left = std::min(claim.count, free);
        free -= left;
        if (left == 0) {
            continue;
        }
        Peer &peer = m_peers.at(*claim.vm);
        Use &use = peer.uses[service];
        use.unusedFor += use.left > 0 ? std::min(now - use.lastLeftAt, MaxPassInterval) : Duration::zero();
        use.lastLeftAt = now;
        use.left = std::max(use.left, left);
        if (now - peer.lastLoggedAt >= LogInterval) {
            peer.lastLoggedAt = now;
            m_report.left.push_back(LeftSlots{.to = *claim.vm, .service = service, .rank = claim.mostUrgent.rank, .count = left});
        }
        if (use.unusedFor >= MaxUnusedTime) {
            use.nextClosedFor = std::max(use.nextClosedFor, MinClosedTime);
            use.closedUntil = now + use.nextClosedFor;
            use.nextClosedFor = std::min(use.nextClosedFor * 2, MaxClosedTime);
            use.unusedFor = {};
            m_report.unused += std::exchange(use.left, 0);
        }
    }
}

void PeerWaiting::expire(TimePoint now)
{
    for (auto &[vm, peer] : m_peers) {
        for (auto &[service, use] : peer.uses) {
            if (use.left > 0 && now - use.lastLeftAt > MaxUnusedTime) {
                m_report.unused += std::exchange(use.left, 0);
            }
        }
    }
}

}
