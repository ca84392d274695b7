#include "entry/suspecttracker.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace cumindyke
{

namespace
{

/// Combines the reports on all requests of an upstream that ended.
constexpr Duration ReportDelay = std::chrono::milliseconds(5);
/// Combines reports on answers. Most parts of the prompts that were lost with an upstream are cleared by the first reports.
constexpr Duration AnswerReportDelay = std::chrono::milliseconds(150);
/// Until reports that could not be delivered are sent again.
constexpr Duration ReportRetryDelay = std::chrono::seconds(1);
/// Longer than a change of the leader usually takes.
constexpr Duration ClaimTimeout = std::chrono::seconds(1);
/// A trial usually ends sooner.
constexpr Duration RetryAfterTrial = std::chrono::seconds(1);
/// Covers the liveness check after the request's deadline.
constexpr Duration TrialMargin = std::chrono::seconds(1);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}

RequestFingerprint RequestContent::fingerprint() const
{
    return RequestFingerprint{secureHash({organisation, method, host, target, body})};
}

RequestTraits RequestContent::traits() const
{
    return RequestTraits{.parts = parsePromptParts(service, promptFormat, prompt),
                         .organisation = organisation.empty() ? std::nullopt : std::optional(organisationTrait(organisation))};
}

std::uint64_t RequestContent::hash(std::uint64_t seed) const
{
    std::uint64_t hash = seed;
    for (const std::string_view part : {organisation, method, host, target, body}) {
        hash = seededChecksum(part, hash);
    }
    return hash;
}

SuspectTracker::SuspectTracker(EventLoop &loop, SuspectTrackerOptions options, Metrics &metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_guard(randomNumber())
    , m_livenessChecks(loop)
    , m_reportTimer(loop, [this] { sendReport(); })
    , m_answerReportTimer(loop, [this] { sendReport(); })
    , m_processId(randomNumber())
    , m_lostToEndedUpstreams(metrics.counter("cumindyke_requests_lost_to_ended_upstreams_total", "Requests that an upstream's process ran when it ended"))
    , m_refusals(metrics.counter("cumindyke_suspect_refusals_total",
                                 "Requests refused because copies of them, or others with a part of their prompts, ended upstreams"))
{
}

RequestFingerprint SuspectTracker::fingerprintOf(const RequestContent &content, SuspectState &state)
{
    if (!state.fingerprint) {
        state.fingerprint = content.fingerprint();
    }
    return *state.fingerprint;
}

void SuspectTracker::setTable(const std::shared_ptr<const v1::SuspectTable> &table)
{
    for (const RequestTrait part : m_guard.setTable(table)) {
        const Duration refusedFor = m_guard.refusedFor(part, EventLoop::wallNow());
        logWarning("entry", "prompt-part-refused", {{"part", toString(part)}, {"for_ms", std::to_string(wholeMilliseconds(refusedFor))}});
    }
}

/// The part of its prompt for which the request is refused.
std::optional<RequestTrait> SuspectTracker::refusedPart(const RequestContent &content, SuspectState &state) const
{
    return m_guard.hasSuspectParts() ? m_guard.refusedPart(traitsOf(content, state), EventLoop::wallNow()) : std::nullopt;
}

bool SuspectTracker::isUnsuspected(const RequestContent &content, SuspectState &state) const
{
    if (refusedPart(content, state)) {
        return false;
    }
    return !m_guard.hasSuspects() || state.trial || m_guard.standing(fingerprintOf(content, state), EventLoop::wallNow()) == CrashGuard::Standing::Unsuspected;
}

const RequestTraits &SuspectTracker::traitsOf(const RequestContent &content, SuspectState &state)
{
    if (!state.traits) {
        state.traits = content.traits();
    }
    return *state.traits;
}

std::variant<MayRun, SuspectRefusal, AwaitsTrial>
SuspectTracker::admit(const RequestId &id, const RequestContent &content, SuspectState &state, TimePoint deadline, TrialAnswer onAnswer)
{
    if (const std::optional<RequestTrait> part = refusedPart(content, state)) {
        m_refusals.add();
        return SuspectRefusal{.reason = "upstreams ended while they ran requests with a part of this prompt",
                              .retryAfter = m_guard.refusedFor(*part, EventLoop::wallNow()),
                              .inputs = "prompt_part=" + toString(*part)};
    }
    if (isUnsuspected(content, state)) {
        return MayRun{};
    }
    const RequestFingerprint fingerprint = fingerprintOf(content, state);
    if (m_guard.wasAnswered(content.hash(m_guard.seed()), EventLoop::now())) {
        clear(id, fingerprint, "answered before");
        return MayRun{};
    }
    const Duration refusedFor = m_guard.refusedFor(fingerprint, EventLoop::wallNow());
    if (refusedFor > Duration::zero()) {
        m_refusals.add();
        return SuspectRefusal{
            .reason = "upstreams ended while they ran this request", .retryAfter = refusedFor, .inputs = "fingerprint=" + toString(fingerprint)};
    }
    claimTrial(id, fingerprint, deadline, std::move(onAnswer));
    return AwaitsTrial{};
}

void SuspectTracker::claimTrial(const RequestId &id, RequestFingerprint fingerprint, TimePoint deadline, TrialAnswer onAnswer)
{
    const Duration remaining = deadline - EventLoop::now() + TrialMargin;
    v1::Trial trial;
    trial.set_fingerprint(fingerprint.value);
    trial.set_id(m_guard.nextTrial().value);
    trial.set_length_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(wholeMilliseconds(remaining), 0)));
    const auto onTimeout = [this, trial] { answerClaim(trial, false, "the control replicas did not answer in time whether a copy of this request may run"); };
    Claim &claim = m_claims[TrialId{trial.id()}];
    claim = Claim{.id = id, .onAnswer = std::move(onAnswer), .timeout = std::make_unique<Timer>(m_loop, onTimeout)};
    claim.timeout->startOnce(ClaimTimeout);
    // With the reports that are due: the log would grant the trial of a request that it does not know as a suspect.
    sendReport(&trial);
}

void SuspectTracker::answerClaim(const v1::Trial &trial, bool isGranted, const char *refusalReason)
{
    const RequestFingerprint fingerprint{trial.fingerprint()};
    const TrialId trialId{trial.id()};
    const auto found = m_claims.find(trialId);
    if (found == m_claims.end()) {
        // The claim has timed out.
        if (isGranted) {
            release(fingerprint, trialId);
        }
        return;
    }
    auto claim = std::make_shared<Claim>(std::move(found->second));
    m_claims.erase(found);
    // The timer may be running this callback.
    m_loop.releaseLater(claim);
    logChange("entry", "trial", {{"id", claim->id.value}, {"fingerprint", toString(fingerprint)}, {"granted", isGranted ? "yes" : "no"}});
    if (!isGranted) {
        m_refusals.add();
        claim->onAnswer(SuspectRefusal{.reason = refusalReason, .retryAfter = RetryAfterTrial, .inputs = "fingerprint=" + toString(fingerprint)});
    } else if (!claim->onAnswer(trialId)) {
        release(fingerprint, trialId);
    }
}

void SuspectTracker::checkUpstreamEnded(const RequestId &id,
                                        const RequestContent &content,
                                        SuspectState &state,
                                        const std::string &upstream,
                                        const Address &address,
                                        const std::function<void(bool hasEnded)> &then)
{
    const TrialId trial = std::exchange(state.trial, {}).value_or(TrialId{});
    const LostRequest lost{.id = id,
                           .upstream = upstream,
                           .fingerprint = fingerprintOf(content, state),
                           .traits = traitsOf(content, state),
                           .contentHash = content.hash(m_guard.seed()),
                           .ran = EventLoop::now() - state.sentAt};
    const auto handleResult = [this, then, trial, lost](bool hasEnded) {
        if (hasEnded) {
            recordCrash(lost, trial);
        } else if (trial.value != 0) {
            m_guard.release(lost.fingerprint, trial);
        }
        scheduleReport(ReportDelay);
        if (then) {
            then(hasEnded);
        }
    };
    const auto handleLiveness = [this, address, handleResult, lost](bool isRefused) {
        if (!isRefused || !m_options.confirmEnded) {
            handleResult(isRefused);
            return;
        }
        // The request goes on without a verdict that takes long. Its trial is over by then, so the crash counts as one outside of a trial.
        m_options.confirmEnded(address, [this, handleResult, lost, isFirst = std::make_shared<bool>(true)](EndVerdict verdict) {
            if (std::exchange(*isFirst, false)) {
                handleResult(verdict == EndVerdict::Ended);
            } else if (verdict == EndVerdict::Ended) {
                recordCrash(lost, TrialId{});
                scheduleReport(ReportDelay);
            }
        });
    };
    m_livenessChecks.check(upstream, m_options.mapAddress ? m_options.mapAddress(address) : address, handleLiveness);
}

void SuspectTracker::recordCrash(const LostRequest &lost, TrialId trial)
{
    m_guard.recordPartCrash(lost.traits, checksum(lost.upstream), lost.ran);
    const bool isCounted = m_guard.recordCrash(lost.fingerprint, lost.contentHash, trial, EventLoop::now());
    m_lostToEndedUpstreams.add();
    logWarning("entry",
               "upstream-ended",
               {{"id", lost.id.value},
                {"fingerprint", toString(lost.fingerprint)},
                {"prompt_parts", toString(lost.traits.parts)},
                {"upstream", lost.upstream},
                {"on_trial", trial.value != 0 ? "yes" : "no"},
                {"counted", isCounted ? "yes" : "no"}});
}

void SuspectTracker::recordAnswer(const RequestId &id, const RequestContent &content, SuspectState &state)
{
    m_guard.recordAnswer(content.hash(m_guard.seed()), EventLoop::now());
    if (m_guard.hasSuspectParts()) {
        m_guard.recordPartAnswer(traitsOf(content, state));
    }
    if (m_guard.hasPartAnswers()) {
        m_answerReportTimer.startOnceIfStopped(AnswerReportDelay);
    }
    state.trial.reset();
    if (!isUnsuspected(content, state)) {
        clear(id, *state.fingerprint, "answered");
    }
}

void SuspectTracker::clear(const RequestId &id, RequestFingerprint fingerprint, const char *reason)
{
    logChange("entry", "suspect-cleared", {{"id", id.value}, {"fingerprint", toString(fingerprint)}, {"why", reason}});
    m_guard.clear(fingerprint);
    scheduleReport(ReportDelay);
}

void SuspectTracker::releaseTrial(SuspectState &state)
{
    if (const std::optional<TrialId> trial = std::exchange(state.trial, {})) {
        release(*state.fingerprint, *trial);
    }
}

void SuspectTracker::release(RequestFingerprint fingerprint, TrialId trial)
{
    m_guard.release(fingerprint, trial);
    scheduleReport(ReportDelay);
}

void SuspectTracker::scheduleReport(Duration delay)
{
    if (m_guard.hasReports()) {
        m_reportTimer.startOnceIfStopped(delay);
    }
}

/// Proposes what the guard has to report, with the claim of a trial if there is one.
void SuspectTracker::sendReport(const v1::Trial *claim)
{
    if (!claim && !m_guard.hasReports() && !m_guard.hasPartAnswers()) {
        return;
    }
    v1::SuspectCommand suspects = m_guard.takeReports();
    if (claim) {
        *suspects.mutable_claim() = *claim;
    }
    v1::Command command;
    command.set_command_id("suspects/" + m_options.vm.value + "/" + std::to_string(m_processId) + "/" + std::to_string(++m_commandCount));
    *command.mutable_suspects() = suspects;
    const auto answer = [post = m_options.post, suspects](const Result<v1::ProposeReply> &reply) {
        const Result<v1::CommandReply> outcome = ok(reply) ? Result<v1::CommandReply>(valueOf(reply).reply()) : errorOf(reply);
        post(SuspectReply{.command = suspects, .reply = outcome});
    };
    m_options.propose(Proposal{.command = std::move(command), .answer = answer});
}

void SuspectTracker::handle(SuspectReply &message)
{
    const bool isDecided = ok(message.reply);
    if (isDecided) {
        m_guard.confirm(message.command, valueOf(message.reply).revision());
    } else {
        m_guard.restore(message.command);
        scheduleReport(ReportRetryDelay);
    }
    if (message.command.has_claim()) {
        const bool isGranted = isDecided && valueOf(message.reply).outcome() == v1::CommandReply::ACCEPTED;
        answerClaim(message.command.claim(), isGranted, "another copy of this request is running, and upstreams ended under earlier ones");
    }
}

}
