#include "entry/crashguard.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

std::vector<RequestTrait> CrashGuard::setTable(const std::shared_ptr<const v1::SuspectTable> &table)
{
    std::vector<RequestTrait> newlyRefused;
    if (!table || table->version() <= m_tableVersion) {
        return newlyRefused;
    }
    m_tableVersion = table->version();
    m_suspects.clear();
    std::map<RequestTrait, SuspectPart> parts;
    for (const v1::SuspectTable::Entry &entry : table->entries()) {
        if (!entry.is_part()) {
            m_suspects[RequestFingerprint{entry.fingerprint()}] = entry.refused_until_ms();
            continue;
        }
        const RequestTrait trait{entry.fingerprint()};
        SuspectPart &part = parts[trait];
        part.refusedUntilMs = entry.refused_until_ms();
        for (const std::uint64_t with : entry.with()) {
            part.with.push_back(RequestTrait{with});
        }
        const auto before = m_parts.find(trait);
        if (part.refusedUntilMs > 0 && (before == m_parts.end() || before->second.refusedUntilMs == 0)) {
            newlyRefused.push_back(trait);
        }
    }
    m_parts = std::move(parts);
    std::erase_if(m_partAnswers, [this](const auto &pair) { return !m_parts.contains(pair.first); });
    std::erase_if(m_unconfirmed, [this](const auto &pair) { return pair.second <= m_tableVersion; });
    return newlyRefused;
}

std::optional<RequestTrait> CrashGuard::refusedPart(const RequestTraits &traits, WallTime now) const
{
    for (const RequestTrait trait : traits.parts) {
        const auto found = m_parts.find(trait);
        if (found == m_parts.end() || now.value >= found->second.refusedUntilMs) {
            continue;
        }
        if (std::ranges::all_of(found->second.with, [&traits](RequestTrait with) { return traits.has(with); })) {
            return trait;
        }
    }
    return {};
}

Duration CrashGuard::refusedFor(RequestTrait part, WallTime now) const
{
    const auto found = m_parts.find(part);
    const std::int64_t remainingMs = found == m_parts.end() ? 0 : std::max<std::int64_t>(0, found->second.refusedUntilMs - now.value);
    return std::chrono::milliseconds(remainingMs);
}

void CrashGuard::recordPartCrash(const RequestTraits &traits, std::uint64_t upstream, Duration ran)
{
    if (traits.parts.empty() || m_reports.part_crashes_size() >= MaxReports) {
        return;
    }
    v1::PartCrash &report = *m_reports.add_part_crashes();
    for (const RequestTrait part : traits.parts) {
        report.add_parts(part.value);
    }
    report.set_organisation(traits.organisation.value_or(RequestTrait{}).value);
    report.set_ran_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(wholeMilliseconds(ran), 0, std::numeric_limits<std::uint32_t>::max())));
    report.set_upstream(upstream);
}

void CrashGuard::recordPartAnswer(const RequestTraits &traits)
{
    for (const RequestTrait part : traits.parts) {
        if (m_parts.contains(part)) {
            ++m_partAnswers[part];
        }
    }
}

CrashGuard::Standing CrashGuard::standing(RequestFingerprint fingerprint, WallTime now) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        return now.value < found->second ? Standing::Refused : Standing::Suspect;
    }
    return m_unconfirmed.contains(fingerprint) ? Standing::Suspect : Standing::Unsuspected;
}

Duration CrashGuard::refusedFor(RequestFingerprint fingerprint, WallTime now) const
{
    const auto found = m_suspects.find(fingerprint);
    const std::int64_t remainingMs = found == m_suspects.end() ? 0 : std::max<std::int64_t>(0, found->second - now.value);
    return std::chrono::milliseconds(remainingMs);
}

void CrashGuard::recordAnswer(std::uint64_t contentHash, TimePoint now)
{
    m_answered[contentHash % AnsweredSlots] = Answered{.contentHash = contentHash, .at = now};
}

bool CrashGuard::wasAnswered(std::uint64_t contentHash, TimePoint now) const
{
    const Answered &answered = m_answered[contentHash % AnsweredSlots];
    return answered.contentHash == contentHash && now - answered.at <= AnswerMemory;
}

bool CrashGuard::recordCrash(RequestFingerprint fingerprint, std::uint64_t contentHash, TrialId trial, TimePoint now)
{
    const bool wasAnsweredBefore = wasAnswered(contentHash, now);
    const bool isCleared = trial.value == 0 && wasAnsweredBefore;
    if (wasAnsweredBefore) {
        m_answered[contentHash % AnsweredSlots] = {};
    }
    if (isCleared || m_reports.crashes_size() >= MaxReports) {
        return false;
    }
    v1::CrashReport &report = *m_reports.add_crashes();
    report.set_fingerprint(fingerprint.value);
    report.set_trial(trial.value);
    m_unconfirmed[fingerprint] = Unknown;
    return true;
}

void CrashGuard::clear(RequestFingerprint fingerprint)
{
    m_suspects.erase(fingerprint);
    m_unconfirmed.erase(fingerprint);
    m_reports.add_cleared(fingerprint.value);
}

void CrashGuard::release(RequestFingerprint fingerprint, TrialId trial)
{
    v1::Trial &released = *m_reports.add_released();
    released.set_fingerprint(fingerprint.value);
    released.set_id(trial.value);
}

void CrashGuard::confirm(const v1::SuspectCommand &reports, std::uint64_t tableVersion)
{
    for (const v1::CrashReport &report : reports.crashes()) {
        const auto found = m_unconfirmed.find(RequestFingerprint{report.fingerprint()});
        if (found == m_unconfirmed.end()) {
            continue;
        }
        found->second = tableVersion;
        if (tableVersion <= m_tableVersion) {
            m_unconfirmed.erase(found);
        }
    }
}

TrialId CrashGuard::nextTrial()
{
    m_lastTrial += m_lastTrial + 1 == 0 ? 2 : 1;
    return TrialId{m_lastTrial};
}

v1::SuspectCommand CrashGuard::takeReports()
{
    v1::SuspectCommand reports = std::exchange(m_reports, {});
    for (const auto &[part, count] : std::exchange(m_partAnswers, {})) {
        v1::PartAnswers &report = *reports.add_part_answers();
        report.set_part(part.value);
        report.set_count(count);
    }
    return reports;
}

void CrashGuard::restore(const v1::SuspectCommand &reports)
{
    m_reports.mutable_crashes()->MergeFrom(reports.crashes());
    m_reports.mutable_cleared()->MergeFrom(reports.cleared());
    m_reports.mutable_released()->MergeFrom(reports.released());
    m_reports.mutable_part_crashes()->MergeFrom(reports.part_crashes());
}

}
