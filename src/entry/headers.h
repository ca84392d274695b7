#pragma once

/// Names of the HTTP headers of callers and upstreams; docs/CALLERS.md describes those of callers.
namespace cumindyke::headers
{

constexpr const char *Authorization = "Authorization";
constexpr const char *Tier = "X-Cumindyke-Tier";
constexpr const char *DeadlineMs = "X-Cumindyke-Deadline-Ms";
constexpr const char *IdempotencyKey = "Idempotency-Key";
/// In answers: "ran", "not-run" or "unknown".
constexpr const char *Outcome = "X-Cumindyke-Outcome";
/// In answers: the request's id in logs and at upstreams.
constexpr const char *RequestId = "X-Cumindyke-Request";
constexpr const char *RetryAfter = "Retry-After";
/// In answers: "true" when the answer is that of an earlier request with the same key.
constexpr const char *Replayed = "Idempotent-Replayed";
/// To upstreams: the request's id. In their answers: the request that they answer.
constexpr const char *UpstreamRequestId = "X-Request-Id";
/// In upstreams' answers: requests a second that the upstream takes from all VMs together.
constexpr const char *UpstreamRequestLimit = "X-Request-Limit";
/// In upstreams' answers: the request was refused before any part of it ran.
constexpr const char *UpstreamNotRun = "X-Not-Run";

}
