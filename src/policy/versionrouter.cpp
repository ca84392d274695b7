#include "policy/versionrouter.h"

namespace cumindyke
{

namespace
{

/// Consecutive failures of the new version that trip it, and answers of the old version without a failure that are required for a trip.
constexpr int TripThreshold = 3;
constexpr Duration TripDuration = std::chrono::seconds(10);

/// Hashes a request's id to 0..999, the same on every VM and in every build. FNV-1a with a finalizer, because ids that differ only in
/// their last digits must be spread evenly.
std::uint32_t hashToPermille(const RequestId &request)
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
    std::map<ServiceName, MoveTraffic> open;
    for (const Move &move : moves) {
        if (!move.isOpen()) {
            continue;
        }
        const auto known = m_moves.find(move.service);
        MoveTraffic state = known != m_moves.end() && known->second.move.name == move.name ? known->second : MoveTraffic{};
        state.move = move;
        open.emplace(move.service, std::move(state));
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
    return hashToPermille(request) < move.share.value ? move.to : declared;
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
    MoveTraffic &state = found->second;
    if (version == state.move.from) {
        state.consecutiveOldAnswers = bad ? 0 : state.consecutiveOldAnswers + 1;
        return;
    }
    if (version != state.move.to) {
        return;
    }
    state.consecutiveNewFailures = bad ? state.consecutiveNewFailures + 1 : 0;
    if (state.consecutiveNewFailures >= TripThreshold && state.consecutiveOldAnswers >= TripThreshold) {
        state.consecutiveNewFailures = 0;
        state.trippedUntil = now + TripDuration;
    }
}

bool VersionRouter::isTripped(const ServiceName &service, TimePoint now) const
{
    const auto found = m_moves.find(service);
    return found != m_moves.end() && now < found->second.trippedUntil;
}

}
