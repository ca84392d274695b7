#pragma once

#include "common/types.h"

#include "control.pb.h"

#include <cstdint>
#include <vector>

/// The evidence that a part which prompts share ends the upstreams that run requests with it. Pure and deterministic, part of the replicated state.
///
/// A process that ends takes all of its requests along, so most parts that are lost with it are sound. Each outcome of a request with the part is
/// evidence: its weight is the logarithm of how much likelier the outcome is for a part that ends half of its runs than for a sound one. A crash counts
/// only if the request was sent after the one that counted last, so upstreams that end at the same moment count once, and no process counts twice.
///
/// Requests are refused if they have, besides the part, everything that all lost requests with it had in common. So a sound part that comes together with
/// the one that ends upstreams is refused only there, and nobody can have another organisation's requests refused by naming their parts.
namespace cumindyke::partsuspect
{

/// In units of one answer, if three in a hundred sound requests are lost.
constexpr std::uint32_t CrashWeight = 4;
constexpr std::uint32_t AnswerWeight = 1;
/// Three crashes without an answer between them, or a few more with some.
constexpr std::uint32_t RefusedFromWeight = 12;
/// Answers that arrive together may all be to requests that ran before the part began to end upstreams.
constexpr std::uint32_t MaxAnswersPerReport = 4;
/// More crashes than a part needs to be refused; a report on an older one can no longer be under way.
constexpr int MaxCountedUpstreams = 8;

/// Returns whether the crash counts.
bool crashCounts(const v1::Suspect &part, const v1::PartCrash &crash, WallTime now);
/// Records a request that was lost with an upstream, and had these traits besides. Returns whether the traits that a refused request has are others now.
///
/// Of the requests that an upstream took along, the one that has most of the traits is taken for the reason: the others may have run beside it.
bool recordTraits(v1::Suspect &part, std::uint64_t upstream, const std::vector<RequestTrait> &otherTraits);
/// Records a crash that counts. Returns whether the part is to be refused from now on.
bool addCrash(v1::Suspect &part, std::uint64_t upstream, WallTime now);
/// Records answers. Returns whether the part is cleared.
bool addAnswers(v1::Suspect &part, std::uint32_t count);
/// Ends a refusal: one more crash renews it.
void endRefusal(v1::Suspect &part);

}
