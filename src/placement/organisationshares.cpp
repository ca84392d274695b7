#include "placement/organisationshares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cumindyke
{

namespace
{

constexpr std::chrono::duration<double> TimeConstant{4};
/// An organisation that was idle gets at most the slots of this time before the others of its rank: less than the shortest objectives, so that nobody
/// is late for it.
constexpr std::chrono::duration<double> MaxCredit{0.5};
/// After this many time constants the values are scaled down. The largest double allows about 700.
constexpr double MaxScaleExponent = 100;
/// A notice has to fit in a datagram, and notices are sent every 30 ms.
constexpr int MaxWorksPerNotice = 16;
constexpr int MaxWorksRead = 256;
/// Larger sums are errors: 10,000 slots would have been in use for 28 years.
constexpr std::uint64_t MaxSumMs = std::uint64_t{1} << 53;
/// More than all slots of the fleet can be used for during PeerTimeout.
constexpr double MaxDifferenceMs = 1e9;
/// A process that has sent no more notices than these has granted all of its work within some seconds.
constexpr std::uint64_t MaxFirstNotices = 100;
/// What a peer granted during a longer silence was not granted lately.
constexpr Duration PeerTimeout = std::chrono::seconds(4);

}

void OrganisationShares::setRoutes(const v1::RouteTable &routes)
{
    m_weights.clear();
    double sum = 0;
    int limited = 0;
    for (const v1::RoutedOrganisation &organisation : routes.organisations()) {
        const auto rate = static_cast<double>(organisation.rate_per_s());
        m_weights[organisation.name()] = rate;
        sum += rate;
        limited += rate > 0 ? 1 : 0;
    }
    m_meanWeight = limited == 0 ? 1 : sum / limited;
    const auto isUnknown = [this](const std::string &organisation) { return !organisation.empty() && !m_weights.contains(organisation); };
    for (auto &[name, service] : m_services) {
        std::erase_if(service.shares, [&](const auto &pair) { return isUnknown(pair.first); });
        for (auto &[organisation, share] : service.shares) {
            share.weight = weightOf(organisation);
        }
    }
    std::erase_if(m_unreported, [&](const ShareKey &key) { return isUnknown(key.second); });
    for (auto &[vm, peer] : m_peers) {
        std::erase_if(peer.sums, [&](const auto &pair) { return isUnknown(pair.first.second); });
    }
}

double OrganisationShares::weightOf(const std::string &organisation) const
{
    const auto weight = m_weights.find(organisation);
    return weight == m_weights.end() || weight->second <= 0 ? m_meanWeight : weight->second;
}

double OrganisationShares::scale(TimePoint at) const
{
    return std::exp((at - m_origin) / TimeConstant);
}

bool OrganisationShares::rescale(TimePoint now)
{
    if ((now - m_origin) / TimeConstant <= MaxScaleExponent) {
        return false;
    }
    const double factor = 1 / scale(std::min(now, m_origin + std::chrono::duration_cast<Duration>(TimeConstant * 2 * MaxScaleExponent)));
    for (auto &[name, service] : m_services) {
        service.work *= factor;
        for (auto &[organisation, share] : service.shares) {
            share.work *= factor;
        }
    }
    m_origin = now;
    return true;
}

const OrganisationShares::Share *OrganisationShares::find(const ServiceName &service, const std::string &organisation) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end()) {
        return nullptr;
    }
    const auto share = known->second.shares.find(organisation);
    return share == known->second.shares.end() ? nullptr : &share->second;
}

OrganisationShares::Share &OrganisationShares::shareOf(Service &service, const std::string &organisation)
{
    const auto [share, isNew] = service.shares.try_emplace(organisation);
    if (isNew) {
        share->second.weight = weightOf(organisation);
    }
    return share->second;
}

double OrganisationShares::usage(const ServiceName &service, const std::string &organisation) const
{
    const Share *share = find(service, organisation);
    return share ? share->work / share->weight : 0;
}

double OrganisationShares::partOfWork(const ServiceName &service, const std::string &organisation) const
{
    const Share *share = find(service, organisation);
    const double all = share ? m_services.at(service).work : 0;
    return all > 0 ? std::min(1.0, share->work / all) : 0;
}

void OrganisationShares::addWork(Service &service, Share &share, double scaledWork)
{
    share.work = std::max(0.0, share.work + scaledWork);
    service.work = std::max(0.0, service.work + scaledWork);
}

OrganisationShares::Share &OrganisationShares::addOwnWork(const ServiceName &service, const std::string &organisation, double milliseconds, TimePoint at)
{
    Service &known = m_services[service];
    Share &share = shareOf(known, organisation);
    addWork(known, share, milliseconds * scale(at));
    share.grantedMs = std::max(0.0, share.grantedMs + milliseconds);
    if (!share.isUnreported) {
        share.isUnreported = true;
        m_unreported.emplace_back(service, organisation);
    }
    return share;
}

double OrganisationShares::charge(const ServiceName &service, const std::string &organisation, double milliseconds, TimePoint now)
{
    const Share &share = addOwnWork(service, organisation, milliseconds, now);
    return share.work / share.weight;
}

void OrganisationShares::refund(const ServiceName &service, const std::string &organisation, double milliseconds, TimePoint chargedAt)
{
    if (find(service, organisation)) {
        addOwnWork(service, organisation, -milliseconds, chargedAt);
    }
}

void OrganisationShares::limitCredit(const ServiceName &service, const std::string &organisation, double smallestUsage)
{
    Service &known = m_services[service];
    Share &share = shareOf(known, organisation);
    const double credit = known.work * (MaxCredit / TimeConstant);
    // The raise is no work of the service: it is not added to the sum, and not reported.
    share.work = std::max(share.work, smallestUsage * share.weight - credit);
}

/// Sums are compared with the last ones of the same process, so a lost notice is made up for by the next one that names the organisation. The first sum of
/// a process that is not new may be the work of hours, and counts as none.
std::vector<OrganisationShares::ShareKey> OrganisationShares::handleNotice(const VmName &from, const v1::LoadNotice &notice, TimePoint now)
{
    Peer &peer = m_peers[from];
    if (notice.incarnation() != peer.incarnation || now - peer.lastReceivedAt > PeerTimeout) {
        peer = Peer{.incarnation = notice.incarnation(), .lastReceivedAt = now, .isKnownFromStart = notice.sequence() <= MaxFirstNotices, .sums = {}};
    } else if (notice.sequence() <= peer.sequence) {
        return {};
    }
    peer.sequence = notice.sequence();
    peer.lastReceivedAt = now;
    std::vector<ShareKey> changed;
    const int count = std::min(notice.works_size(), MaxWorksRead);
    for (int i = 0; i < count; ++i) {
        const v1::OrganisationWork &work = notice.works(i);
        const bool isKnown = work.organisation().empty() || m_weights.contains(work.organisation());
        if (work.service().empty() || !isKnown || work.granted_ms() > MaxSumMs) {
            continue;
        }
        const ShareKey key{ServiceName{work.service()}, work.organisation()};
        const auto sum = peer.sums.try_emplace(key, peer.isKnownFromStart ? 0 : work.granted_ms()).first;
        const double difference = static_cast<double>(work.granted_ms()) - static_cast<double>(std::exchange(sum->second, work.granted_ms()));
        if (difference == 0 || std::abs(difference) > MaxDifferenceMs) {
            continue;
        }
        Service &service = m_services[key.first];
        addWork(service, shareOf(service, key.second), difference * scale(now));
        changed.push_back(key);
    }
    return changed;
}

void OrganisationShares::writeNotice(v1::LoadNotice &notice)
{
    for (int i = 0; i < MaxWorksPerNotice && !m_unreported.empty(); ++i) {
        const ShareKey key = std::move(m_unreported.front());
        m_unreported.pop_front();
        Share &share = m_services[key.first].shares.at(key.second);
        share.isUnreported = false;
        v1::OrganisationWork &work = *notice.add_works();
        work.set_organisation(key.second);
        work.set_service(key.first.value);
        work.set_granted_ms(static_cast<std::uint64_t>(std::llround(share.grantedMs)));
    }
}

void OrganisationShares::expireTimedOut(TimePoint now)
{
    std::erase_if(m_peers, [now](const auto &pair) { return now - pair.second.lastReceivedAt > PeerTimeout; });
}

}
