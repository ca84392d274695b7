#include "control/crashledger.h"

#include "control/partsuspect.h"

#include <algorithm>
#include <tuple>

namespace cumindyke
{

namespace
{

/// Upper bound of a trial's length: if its VM is lost, no other copy runs until it is over.
constexpr std::uint32_t MaxTrialMs = 60'000;

/// Returns what the lost request had besides the part.
std::vector<RequestTrait> traitsBesides(std::uint64_t part, const v1::PartCrash &report)
{
    std::vector<RequestTrait> traits;
    for (const std::uint64_t other : report.parts()) {
        if (other != part) {
            traits.push_back(RequestTrait{other});
        }
    }
    if (report.organisation() != 0) {
        traits.push_back(RequestTrait{report.organisation()});
    }
    return traits;
}

}

v1::CommandReply CrashLedger::apply(const v1::SuspectCommand &command, WallTime now)
{
    expire(now);
    for (const v1::CrashReport &report : command.crashes()) {
        recordCrash(report, now);
    }
    for (const v1::PartCrash &report : command.part_crashes()) {
        recordPartCrash(report, now);
    }
    for (const std::uint64_t fingerprint : command.cleared()) {
        m_version += m_suspects.erase(fingerprint);
    }
    for (const v1::PartAnswers &report : command.part_answers()) {
        recordPartAnswers(report);
    }
    for (const v1::Trial &trial : command.released()) {
        const auto found = m_suspects.find(trial.fingerprint());
        if (found != m_suspects.end() && found->second.trial() == trial.id()) {
            found->second.set_trial(0);
        }
    }
    v1::CommandReply reply;
    const bool granted = !command.has_claim() || claim(command.claim(), now);
    reply.set_revision(m_version);
    reply.set_outcome(granted ? v1::CommandReply::ACCEPTED : v1::CommandReply::CONFLICT);
    return reply;
}

v1::Suspect &CrashLedger::suspectFor(std::uint64_t fingerprint)
{
    if (!m_suspects.contains(fingerprint)) {
        evictIfFull();
    }
    v1::Suspect &suspect = m_suspects[fingerprint];
    suspect.set_fingerprint(fingerprint);
    return suspect;
}

void CrashLedger::recordCrash(const v1::CrashReport &report, WallTime now)
{
    v1::Suspect &suspect = suspectFor(report.fingerprint());
    const bool isNew = suspect.crashes() == 0;
    const bool isOnTrial = report.trial() != 0 && suspect.trial() == report.trial();
    suspect.set_last_crash_at_ms(now.value);
    if (!isNew && !isOnTrial) {
        return;
    }
    suspect.set_trial(0);
    suspect.set_crashes(suspect.crashes() + 1);
    if (suspect.crashes() >= CrashesUntilRefused) {
        suspect.set_refused_until_ms(now.value + (suspect.crashes() == CrashesUntilRefused ? FirstRefusalMs : KeepMs));
    }
    ++m_version;
}

void CrashLedger::recordPartCrash(const v1::PartCrash &report, WallTime now)
{
    for (const std::uint64_t fingerprint : report.parts()) {
        v1::Suspect &part = suspectFor(fingerprint);
        const bool counts = partsuspect::crashCounts(part, report, now);
        const bool isOther = partsuspect::recordTraits(part, report.upstream(), traitsBesides(fingerprint, report));
        part.set_is_part(true);
        part.set_last_crash_at_ms(now.value);
        const bool isRefused = part.refused_until_ms() > 0;
        if (isRefused || !counts) {
            m_version += isRefused && isOther ? 1 : 0;
            continue;
        }
        if (partsuspect::addCrash(part, report.upstream(), now)) {
            refuse(part, now);
        }
        ++m_version;
    }
}

void CrashLedger::refuse(v1::Suspect &part, WallTime now)
{
    part.set_refused_until_ms(now.value + (part.refusals() == 0 ? FirstRefusalMs : KeepMs));
    part.set_refusals(part.refusals() + 1);
}

void CrashLedger::recordPartAnswers(const v1::PartAnswers &report)
{
    const auto found = m_suspects.find(report.part());
    if (found == m_suspects.end()) {
        return;
    }
    // A refused part is answered too, in requests that had not all that the lost ones had in common.
    if (found->second.is_part() && partsuspect::addAnswers(found->second, report.count())) {
        m_suspects.erase(found);
        ++m_version;
    }
}

void CrashLedger::evictIfFull()
{
    if (m_suspects.size() < MaxSuspects) {
        return;
    }
    const auto rank = [](const auto &pair) { return std::tuple(pair.second.refused_until_ms() > 0, pair.second.crashes(), pair.second.last_crash_at_ms()); };
    m_suspects.erase(std::ranges::min_element(m_suspects, {}, rank));
    ++m_version;
}

bool CrashLedger::claim(const v1::Trial &trial, WallTime now)
{
    const auto found = m_suspects.find(trial.fingerprint());
    if (found == m_suspects.end()) {
        return true;
    }
    v1::Suspect &suspect = found->second;
    const bool isTaken = suspect.trial() != 0 && suspect.trial() != trial.id() && now.value < suspect.trial_until_ms();
    if (isTaken || suspect.refused_until_ms() > now.value) {
        return false;
    }
    suspect.set_trial(trial.id());
    suspect.set_trial_until_ms(now.value + std::min(trial.length_ms(), MaxTrialMs));
    return true;
}

void CrashLedger::expire(WallTime now)
{
    for (auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.refused_until_ms() > 0 && suspect.refused_until_ms() <= now.value) {
            suspect.set_refused_until_ms(0);
            suspect.set_last_crash_at_ms(now.value);
            ++m_version;
            if (suspect.is_part()) {
                partsuspect::endRefusal(suspect);
            }
        }
    }
    m_version += std::erase_if(m_suspects,
                               [now](const auto &pair) { return pair.second.refused_until_ms() == 0 && pair.second.last_crash_at_ms() + KeepMs <= now.value; });
}

v1::SuspectTable CrashLedger::table() const
{
    v1::SuspectTable table;
    table.set_version(m_version);
    for (const auto &[fingerprint, suspect] : m_suspects) {
        v1::SuspectTable::Entry &entry = *table.add_entries();
        entry.set_fingerprint(fingerprint);
        entry.set_refused_until_ms(suspect.refused_until_ms());
        entry.set_is_part(suspect.is_part());
        if (suspect.refused_until_ms() > 0) {
            *entry.mutable_with() = suspect.with();
        }
    }
    return table;
}

void CrashLedger::writeTo(v1::StateSnapshot &snapshot) const
{
    snapshot.set_suspects_version(m_version);
    for (const auto &[fingerprint, suspect] : m_suspects) {
        *snapshot.add_suspects() = suspect;
    }
}

void CrashLedger::readFrom(const v1::StateSnapshot &snapshot)
{
    m_version = snapshot.suspects_version();
    m_suspects.clear();
    for (const v1::Suspect &suspect : snapshot.suspects()) {
        m_suspects[suspect.fingerprint()] = suspect;
    }
}

}
