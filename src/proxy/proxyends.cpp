// ProxyTask: whether an answer that ends with its connection is whole.

#include "proxy/proxytask.h"

#include "relay/processwatch.h"

#include <algorithm>
#include <utility>

namespace cumindyke
{

namespace
{

/// Bounds the memory of upstreams and routes that are gone.
constexpr std::size_t MaxUnframedAnswers = 4096;

}

void ProxyTask::recordFraming(ProxyRequest &request, BodyFraming framing)
{
    if (framing == BodyFraming::Empty) {
        // An answer to HEAD, or one with status 204, says nothing of those with a body.
        request.processWatch.reset();
        return;
    }
    if (m_unframedAnswers.size() >= MaxUnframedAnswers) {
        m_unframedAnswers.clear();
    }
    bool &hasUnframed = m_unframedAnswers[{request.upstream.name, request.parsed.route->name()}];
    hasUnframed = hasUnframed || framing == BodyFraming::ConnectionClose;
    if (framing != BodyFraming::ConnectionClose) {
        request.processWatch.reset();
    }
}

/// A watch costs a connection, so it is opened only until all answers of the upstream on the route have a length or chunks.
bool ProxyTask::mayBeUnframed(const ProxyRequest &request) const
{
    const auto answers = m_unframedAnswers.find({request.upstream.name, request.parsed.route->name()});
    return answers == m_unframedAnswers.end() || answers->second;
}

/// The request is sent when the watch is open: a connection that was opened later may be a successor's.
void ProxyTask::watchProcess(ProxyRequest &request)
{
    const v1::RoutedService *service = request.parsed.routes->service(request.parsed.service.value);
    const bool hasHealthPath = service && service->health_path().starts_with('/');
    LivenessRequest liveness{.target = hasHealthPath ? service->health_path() : "/",
                             .host = request.exchange->header("Host"),
                             .headers = {{m_options.headers.expectedInstance, request.upstream.name.value}},
                             .instanceHeader = m_options.headers.instance,
                             .instance = request.upstream.name.value};
    const auto onOpened = [this, localId = request.localId] {
        ProxyRequest *opened = find(localId);
        if (opened && opened->call) {
            opened->call->releaseRequest();
        }
    };
    const Address &upstream = request.upstream.address;
    const Address connectTo = request.relay ? upstream : m_paths->connectAddress(upstream);
    const std::optional<Address> relay = request.relay ? std::optional(m_paths->relayAddress(*request.relay)) : std::nullopt;
    request.processWatch = std::make_shared<ProcessWatch>(m_loop, connectTo, relay, std::move(liveness), onOpened);
}

/// A process that dies closes its connections in order too, and one that closes a connection before it has read a long request causes a reset after the end.
/// So the end of an answer without a length or chunks is the answer's own only if the process is proved to run still, and the connection is still intact.
void ProxyTask::verifyUnframedEnd(ProxyRequest &request)
{
    if (!request.processWatch) {
        handleEndCheck(request, AnswerEndProof::Unwatched);
        return;
    }
    const TimePoint now = EventLoop::now();
    const bool mayRepeat = request.attempts.mayRepeat() && request.mayContinue();
    const Duration timeLeft = request.parsed.deadline - now;
    // Another attempt needs a part of the time.
    request.processWatch->verifyEnd(
        now, mayRepeat ? std::min<Duration>(timeLeft, ResumeTimeout) : timeLeft, [this, localId = request.localId](AnswerEndProof proof) {
            if (ProxyRequest *ended = find(localId)) {
                // The watch is still running this callback.
                m_loop.releaseLater(std::move(ended->processWatch));
                handleEndCheck(*ended, proof);
            }
        });
}

void ProxyTask::handleEndCheck(ProxyRequest &request, AnswerEndProof proof)
{
    const bool isIntact = request.call && request.call->hasIntactEnd();
    request.endCheck = isIntact ? toString(proof) : "reset";
    m_metrics
        .counter("cumindyke_unframed_answers_total",
                 "Answers of upstreams without a length or chunks, by what was known of the upstream when their connection had ended",
                 {{"end_check", request.endCheck}})
        .add();
    if (isIntact && proof == AnswerEndProof::Answered) {
        completeAnswer(request);
    } else if (isIntact && proof == AnswerEndProof::Unwatched) {
        // The answer may be whole, and the upstream is not to blame.
        handleAttemptEnd(request, AttemptEnd::Lost, v1::PLACEMENT_CANCELLED);
    } else {
        onCallFailed(request.localId, CallFailure::Lost);
    }
}

}
