#pragma once

/// Names of the HTTP headers that callers and the front door share; docs/CALLERS.md describes them.
namespace cumindyke::headers
{

constexpr const char *Authorization = "Authorization";
constexpr const char *Tier = "X-Cumindyke-Tier";
constexpr const char *DeadlineMs = "X-Cumindyke-Deadline-Ms";
constexpr const char *IdempotencyKey = "Idempotency-Key";
/// In answers: "ran", "not-run" or "unknown".
constexpr const char *Outcome = "X-Cumindyke-Outcome";
/// In answers: the id under which logs and upstreams know the request.
constexpr const char *RequestId = "X-Cumindyke-Request";
constexpr const char *RetryAfter = "Retry-After";
/// In answers: "true" when the answer was made for an earlier sending under the same key.
constexpr const char *Replayed = "Idempotent-Replayed";
/// From an upstream: the request was refused before any of it ran.
constexpr const char *UpstreamNotRun = "X-Not-Run";

}
