#pragma once

#include "common/types.h"

#include "routing.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cumindyke
{

/// Shares of organisations in the slots of each service: the slot time that all placement servers have granted to them lately, by their weights. Pure: time
/// is an argument.
///
/// Without it, an organisation that sends six times its usual demand takes the slots of the others in a rank, since the queue knows only latest starts.
///
/// The granted slot time decays exponentially, so an organisation that overdrew its share pays for seconds, not for good. All values decay at the same
/// rate; they are kept as if at one fixed time, so that their order changes only with grants and a queue need not be sorted again as time passes.
class OrganisationShares
{
public:
    /// A service and an organisation.
    using ShareKey = std::pair<ServiceName, std::string>;

    /// Sets the weights: the organisations' rate limits. One without a limit has the mean weight of the others.
    void setRoutes(const v1::RouteTable &routes);
    /// Keeps the stored values in the range of numbers; to be called before the other functions with this time. Returns whether all usages were scaled:
    /// their order stays, but usages that were read before can't be compared with new ones.
    bool rescale(TimePoint now);

    /// Recent slot time of the organisation divided by its weight. Can be compared with other usages only.
    double usage(const ServiceName &service, const std::string &organisation) const;
    /// The organisation's part, 0 to 1, of the service's recent slot time.
    double partOfWork(const ServiceName &service, const std::string &organisation) const;
    /// Records that a request was granted a slot, probably for this time. Returns the new usage.
    double charge(const ServiceName &service, const std::string &organisation, double milliseconds, TimePoint now);
    /// Takes back a charge, since the request did not run.
    void refund(const ServiceName &service, const std::string &organisation, double milliseconds, TimePoint chargedAt);
    /// Limits the credit of an organisation that begins to wait, relative to the smallest usage of those that wait already: after an idle time it
    /// would otherwise get all slots until it has caught up.
    void limitCredit(const ServiceName &service, const std::string &organisation, double smallestUsage);

    /// Applies the grants of another placement server. Returns the shares that changed.
    std::vector<ShareKey> handleNotice(const VmName &from, const v1::LoadNotice &notice, TimePoint now);
    /// Writes the sums that changed and were unreported for the longest time.
    void writeNotice(v1::LoadNotice &notice);
    /// Forgets the sums of servers that are silent.
    void expireTimedOut(TimePoint now);

private:
    struct Share
    {
        double weight = 1;
        /// Decayed slot time, times the scale at the time of each grant.
        double work = 0;
        /// Granted here since the start of the process.
        double grantedMs = 0;
        bool isUnreported = false;
    };
    struct Service
    {
        /// As Share::work, of all organisations.
        double work = 0;
        std::unordered_map<std::string, Share> shares;
    };
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        TimePoint lastReceivedAt;
        /// All of its work was granted lately, or after its first notice here.
        bool isKnownFromStart = false;
        std::map<ShareKey, std::uint64_t> sums;
    };

    double scale(TimePoint at) const;
    double weightOf(const std::string &organisation) const;
    const Share *find(const ServiceName &service, const std::string &organisation) const;
    Share &shareOf(Service &service, const std::string &organisation);
    Share &addOwnWork(const ServiceName &service, const std::string &organisation, double milliseconds, TimePoint at);
    static void addWork(Service &service, Share &share, double scaledWork);

    /// The scale is 1 at this time.
    TimePoint m_origin{};
    std::unordered_map<std::string, double> m_weights;
    double m_meanWeight = 1;
    std::map<ServiceName, Service> m_services;
    /// Shares with unreported changes, the oldest change first.
    std::deque<ShareKey> m_unreported;
    std::map<VmName, Peer> m_peers;
};

}
