#include "policy/versionrouter.h"

namespace cumindyke
{

namespace
{

constexpr int FailuresToTrip = 3;
constexpr Duration TripLength = std::chrono::seconds(10);

/// 0 to 999, the same on every VM and in every build: FNV-1a with a final mix, because ids that differ in their last digits must spread.
std::uint32_t spread(const RequestId &request)
{
    std::uint64_t hash = 14'695'981'039'346'656'037ULL;
    for (const char letter : request.value) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return static_cast<std::uint32_t>(hash % WholeShare.value);
}

}

void VersionRouter::setMoves(const std::vector<Move> &moves)
{
    std::map<ServiceName, Local> open;
    for (const Move &move : moves) {
        if (!move.isOpen()) {
            continue;
        }
        const auto known = m_moves.find(move.service);
        Local local = known != m_moves.end() && known->second.move.name == move.name ? known->second : Local{};
        local.move = move;
        open.emplace(move.service, std::move(local));
    }
    m_moves = std::move(open);
}

VersionName VersionRouter::choose(const ServiceName &service, const VersionName &declared, const RequestId &request, bool atMostOnce, TimePoint now) const
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end() || isTripped(service, now)) {
        return declared;
    }
    const Move &move = found->second.move;
    if (atMostOnce && move.state == MoveState::Ramping) {
        return declared;
    }
    return spread(request) < move.share.value ? move.to : declared;
}

const Move *VersionRouter::openMove(const ServiceName &service) const
{
    const auto found = m_moves.find(service);
    return found == m_moves.end() ? nullptr : &found->second.move;
}

void VersionRouter::ended(const ServiceName &service, const VersionName &version, bool bad, TimePoint now)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end()) {
        return;
    }
    Local &local = found->second;
    if (version == local.move.from) {
        local.oldAnswersSinceFailure = bad ? 0 : local.oldAnswersSinceFailure + 1;
        return;
    }
    if (version != local.move.to) {
        return;
    }
    local.newFailuresInRow = bad ? local.newFailuresInRow + 1 : 0;
    if (local.newFailuresInRow >= FailuresToTrip && local.oldAnswersSinceFailure >= FailuresToTrip) {
        local.newFailuresInRow = 0;
        local.trippedUntil = now + TripLength;
    }
}

bool VersionRouter::isTripped(const ServiceName &service, TimePoint now) const
{
    const auto found = m_moves.find(service);
    return found != m_moves.end() && now < found->second.trippedUntil;
}

}
