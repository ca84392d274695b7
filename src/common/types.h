#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

/// Identifiers and units shared by all parts of the program.
namespace cumindyke
{

/// A strongly typed value. Different types never convert into each other, so that an organisation's name can't be passed as a service's.
template<typename Tag, typename Rep>
struct Strong
{
    Rep value{};

    auto operator<=>(const Strong &) const = default;
};

using OrganisationName = Strong<struct OrganisationNameTag, std::string>;
using TierName = Strong<struct TierNameTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
using VersionName = Strong<struct VersionNameTag, std::string>;
using UpstreamName = Strong<struct UpstreamNameTag, std::string>;
using DataCentreName = Strong<struct DataCentreNameTag, std::string>;
/// A region has one or more data centres.
using RegionName = Strong<struct RegionNameTag, std::string>;
using VmName = Strong<struct VmNameTag, std::string>;
using MoveName = Strong<struct MoveNameTag, std::string>;
/// Created by the entry VM for each request it accepts; unique across VMs and restarts. Upstreams echo it.
using RequestId = Strong<struct RequestIdTag, std::string>;
/// Identifies the content of a request: the same for all copies that a caller sends, whatever their ids.
using RequestFingerprint = Strong<struct RequestFingerprintTag, std::uint64_t>;
/// Identifies what several requests have in common: a part of their prompts, or their organisation.
using RequestTrait = Strong<struct RequestTraitTag, std::uint64_t>;
/// Created by the operator's client; a resend carries the same id.
using CommandId = Strong<struct CommandIdTag, std::string>;
/// Lower-case hexadecimal SHA-256 of an API key.
using KeyHash = Strong<struct KeyHashTag, std::string>;

/// 0 is the highest tier.
using TierRank = Strong<struct TierRankTag, std::uint8_t>;
/// Counts accepted changes of the declarations, starting at 1; 0 means that nothing was declared yet.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
/// Counts the successive holders of a lease; used as the fencing number of orders to upstreams.
using Epoch = Strong<struct EpochTag, std::uint64_t>;
using TokenCount = Strong<struct TokenCountTag, std::uint32_t>;

/// A monotonic clock whose readings are passed as arguments; in experiments the time is virtual.
struct SchedulerClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SchedulerClock>;
    static constexpr bool is_steady = true;
};
using Duration = SchedulerClock::duration;
using TimePoint = SchedulerClock::time_point;

/// Converts a duration to milliseconds, rounded towards zero, for messages and logs.
constexpr std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Milliseconds since 1970 by the wall clock: only for times that people declare and read, never for leases.
using WallTime = Strong<struct WallTimeTag, std::int64_t>;

/// An IPv4 address in dotted form and a TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/// Returns "host:port", as used in settings and declarations.
inline std::string toString(const Address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

}

template<typename Tag, typename Rep>
struct std::hash<cumindyke::Strong<Tag, Rep>>
{
    std::size_t operator()(const cumindyke::Strong<Tag, Rep> &strong) const noexcept
    {
        return std::hash<Rep>{}(strong.value);
    }
};
