#include "control/claims.h"

#include <algorithm>

namespace cumindyke
{

namespace
{

/// Retention of an end that forbids a claim in advance: far longer than a command can be in flight.
constexpr std::uint32_t EarlyEndRetentionSeconds = 3600;

std::int64_t expiryOf(const v1::ClaimRecord &record)
{
    return record.ended_at_ms() + static_cast<std::int64_t>(record.claim().keep_s()) * 1000;
}

v1::ClaimReply replyOf(v1::ClaimReply::Outcome outcome)
{
    v1::ClaimReply reply;
    reply.set_outcome(outcome);
    return reply;
}

}

v1::ClaimReply Claims::claim(const v1::ClaimRequest &request, WallTime now)
{
    expire(now);
    const Key key{request.organisation(), request.service(), request.key()};
    const auto found = m_records.find(key);
    if (found != m_records.end()) {
        const v1::ClaimRecord &record = found->second;
        const bool mayReclaim = record.end().end() == v1::ClaimEnd::NOT_RUN && record.claim().request_id() != request.request_id();
        if (!mayReclaim) {
            return replyFor(record, request);
        }
    } else if (m_records.size() >= m_limits.maxClaims) {
        return replyOf(v1::ClaimReply::OUTCOME_UNSPECIFIED);
    }
    v1::ClaimRecord record;
    *record.mutable_claim() = request;
    storeRecord(key, std::move(record));
    return replyOf(v1::ClaimReply::CLAIMED);
}

v1::ClaimReply Claims::replyFor(const v1::ClaimRecord &record, const v1::ClaimRequest &request) const
{
    if (record.end().end() == v1::ClaimEnd::NOT_RUN) {
        return replyOf(v1::ClaimReply::NOT_RUN);
    }
    if (record.claim().payload() != request.payload()) {
        return replyOf(v1::ClaimReply::OTHER_PAYLOAD);
    }
    v1::ClaimReply reply;
    reply.set_request_id(record.claim().request_id());
    if (record.end().end() == v1::ClaimEnd::ANSWERED) {
        reply.set_outcome(v1::ClaimReply::ENDED);
        *reply.mutable_answer() = record.end().answer();
    } else if (record.end().end() == v1::ClaimEnd::OUTCOME_LOST) {
        reply.set_outcome(v1::ClaimReply::OUTCOME_LOST);
    } else if (record.claim().request_id() == request.request_id()) {
        // The same attempt claims again because the first reply was lost: it is still the one that may run.
        reply.set_outcome(v1::ClaimReply::CLAIMED);
    } else {
        reply.set_outcome(v1::ClaimReply::HELD);
        reply.set_holder(record.claim().entry_vm());
    }
    return reply;
}

void Claims::end(const v1::ClaimEnd &end, WallTime now)
{
    expire(now);
    const Key key{end.organisation(), end.service(), end.key()};
    const auto found = m_records.find(key);
    v1::ClaimRecord record;
    if (found != m_records.end()) {
        record = found->second;
        const bool isLateAnswer = record.end().end() == v1::ClaimEnd::OUTCOME_LOST && end.end() == v1::ClaimEnd::ANSWERED;
        if (record.claim().request_id() != end.request_id() || (record.has_end() && !isLateAnswer)) {
            return;
        }
    } else {
        if (end.end() != v1::ClaimEnd::NOT_RUN || m_records.size() >= m_limits.maxClaims) {
            return;
        }
        record.mutable_claim()->set_request_id(end.request_id());
        record.mutable_claim()->set_keep_s(EarlyEndRetentionSeconds);
    }
    *record.mutable_end() = end;
    const std::size_t bytes = end.answer().body().size();
    if (end.end() == v1::ClaimEnd::ANSWERED && (bytes > m_limits.maxAnswerBytes || m_bytes + bytes > m_limits.maxBytes)) {
        record.mutable_end()->clear_answer();
        record.mutable_end()->set_end(v1::ClaimEnd::OUTCOME_LOST);
    }
    record.set_ended_at_ms(m_latestTime);
    storeRecord(key, std::move(record));
}

void Claims::expire(WallTime now)
{
    m_latestTime = std::max(m_latestTime, now.value);
    while (!m_keysByExpiry.empty() && m_keysByExpiry.begin()->first <= m_latestTime) {
        eraseRecord(m_records.find(m_keysByExpiry.begin()->second));
    }
}

void Claims::storeRecord(const Key &key, v1::ClaimRecord record)
{
    const auto found = m_records.find(key);
    if (found != m_records.end()) {
        eraseRecord(found);
    }
    m_bytes += record.end().answer().body().size();
    if (record.has_end()) {
        m_keysByExpiry.emplace(expiryOf(record), key);
    }
    m_records.emplace(key, std::move(record));
}

void Claims::eraseRecord(std::map<Key, v1::ClaimRecord>::iterator found)
{
    m_bytes -= found->second.end().answer().body().size();
    m_keysByExpiry.erase({expiryOf(found->second), found->first});
    m_records.erase(found);
}

void Claims::save(v1::StateSnapshot &snapshot) const
{
    for (const auto &[key, record] : m_records) {
        v1::ClaimRecord &saved = *snapshot.add_claims();
        saved = record;
        const auto &[organisation, service, name] = key;
        saved.mutable_claim()->set_organisation(organisation);
        saved.mutable_claim()->set_service(service);
        saved.mutable_claim()->set_key(name);
    }
}

void Claims::restore(const v1::StateSnapshot &snapshot)
{
    *this = Claims(m_limits);
    for (const v1::ClaimRecord &record : snapshot.claims()) {
        m_latestTime = std::max<std::int64_t>(m_latestTime, record.ended_at_ms());
        storeRecord(Key{record.claim().organisation(), record.claim().service(), record.claim().key()}, record);
    }
}

}
