#include "proxy/instancelistreader.h"

#include "common/log.h"

namespace cumindyke
{

namespace
{

constexpr int StatusOk = 200;
/// The list is small and its server is close: an answer that takes longer is lost.
constexpr ProgressTimeouts ListTimeouts{.connect = std::chrono::milliseconds(500),
                                        .firstByte = std::chrono::milliseconds(800),
                                        .betweenBytes = std::chrono::milliseconds(800)};
/// Guards against an endless list: at 50 entries a page these are 10,000 upstreams.
constexpr std::size_t MaxPages = 200;
constexpr std::size_t MaxPageBytes = 4 << 20;
/// The platform limits the rate of calls from all VMs together. A refused page is requested again with exponential backoff, and the pages before it
/// are kept.
constexpr Duration MinRetryDelay = std::chrono::milliseconds(100);
constexpr int MaxPageRetries = 4;
constexpr std::size_t MaxLoggedEntries = 8;

}

InstanceListReader::InstanceListReader(EventLoop &loop, InstanceListProtocol protocol, DataCentreName localDataCentre, Duration interval)
    : m_loop(loop)
    , m_protocol(std::move(protocol))
    , m_schedule(std::move(localDataCentre), interval)
    , m_nextReadTimer(loop, [this] { startNextRead(); })
    , m_retryTimer(loop, [this] { fetchPage(); })
{
}

void InstanceListReader::start()
{
    m_schedule.reset();
    m_nextReadTimer.startOnce(Duration::zero());
}

void InstanceListReader::stop()
{
    m_nextReadTimer.stop();
    m_retryTimer.stop();
    m_call.reset();
}

void InstanceListReader::setRemoteWanted(bool wanted)
{
    if (wanted != m_remoteWanted && m_schedule.readsInParts()) {
        logChange("proxy", "farther-upstreams", {{"read", wanted ? "yes" : "no"}});
    }
    m_remoteWanted = wanted;
}

void InstanceListReader::startNextRead()
{
    const TimePoint now = EventLoop::now();
    const std::optional<ListRead> nextRead = m_schedule.nextRead(m_remoteWanted, now);
    if (!nextRead) {
        m_nextReadTimer.startOnce(m_schedule.timeUntilNextCheck(now));
        return;
    }
    m_currentRead = *nextRead;
    m_list = {};
    if (m_currentRead.scope == ListRead::Scope::DataCentre) {
        m_list.dataCentre = m_currentRead.dataCentre;
    }
    m_pageCount = 0;
    m_rejected.clear();
    m_requestedTokens.clear();
    m_pageFailures = 0;
    fetchPage();
}

void InstanceListReader::fetchPage()
{
    m_status = 0;
    m_body.clear();
    UpstreamRequest request{.id = RequestId{"list"},
                            .address = m_protocol.address,
                            .method = "GET",
                            .target = m_protocol.target(m_list.dataCentre, m_currentRead.pageToken),
                            .headers = {},
                            .body = {}};
    request.allowsCloseDelimitedBody = true;
    request.maxAnswerBytes = MaxPageBytes;
    m_call = std::make_unique<UpstreamCall>(m_loop, std::move(request), ListTimeouts);
    m_call->head().connect([this](const AnswerHead &head) { m_status = head.status; });
    m_call->data().connect([this](std::string_view bytes) { m_body += bytes; });
    m_call->finished().connect([this] {
        m_call->cancel();
        handlePage();
    });
    m_call->failed().connect([this](CallFailure) { handlePageFailure("the connection failed"); });
    m_call->start();
}

void InstanceListReader::handlePage()
{
    if (m_status != StatusOk) {
        handlePageFailure("status " + std::to_string(m_status));
        return;
    }
    Result<InstancePage> page = m_protocol.parse(m_body);
    if (!ok(page)) {
        handlePageFailure(errorOf(page).message);
        return;
    }
    const TimePoint now = EventLoop::now();
    InstancePage &content = valueOf(page);
    m_requestedTokens.insert(m_currentRead.pageToken);
    if (m_requestedTokens.contains(content.nextPageToken) && !content.nextPageToken.empty()) {
        handlePageFailure("a page names itself, or one before it, as the next page");
        return;
    }
    if (m_pageCount + 1 >= MaxPages && !content.nextPageToken.empty()) {
        handlePageFailure("the list has more than " + std::to_string(MaxPages) + " pages");
        return;
    }
    for (const UpstreamInstance &instance : content.instances) {
        m_schedule.addDataCentre(instance.dataCentre);
    }
    m_pageFailures = 0;
    if (!content.rejected.empty()) {
        m_rejected.insert(content.rejected.begin(), content.rejected.end());
        m_entriesRejected.emit(content.rejected.size());
    }
    ++m_pageCount;
    m_currentRead.pageToken = content.nextPageToken;
    if (m_currentRead.scope == ListRead::Scope::Discovery) {
        m_schedule.onDiscoveryPageRead(content.nextPageToken, now);
        m_nextReadTimer.startOnce(Duration::zero());
        return;
    }
    m_list.instances.insert(m_list.instances.end(), content.instances.begin(), content.instances.end());
    const bool isLong = m_currentRead.scope == ListRead::Scope::Whole && m_pageCount >= ListSchedule::MaxWholePages && !content.nextPageToken.empty();
    if (isLong) {
        m_schedule.switchToParts();
        m_nextReadTimer.startOnce(Duration::zero());
    } else if (!content.nextPageToken.empty()) {
        fetchPage();
    } else {
        finishRead(now);
        return;
    }
    if (!m_wasRead) {
        m_listRead.emit(m_list);
    }
}

void InstanceListReader::finishRead(TimePoint now)
{
    if (m_currentRead.scope == ListRead::Scope::Whole) {
        m_schedule.onWholeRead(now);
    } else {
        m_schedule.onPartRead(m_currentRead.dataCentre, now);
    }
    m_wasRead = true;
    updateReadable(true, "");
    reportRejected();
    m_listRead.emit(m_list);
    m_nextReadTimer.startOnce(Duration::zero());
}

void InstanceListReader::handlePageFailure(const std::string &reason)
{
    updateReadable(false, reason);
    m_readFailed.emit();
    if (m_pageFailures < MaxPageRetries) {
        m_retryTimer.startOnce(MinRetryDelay * (1 << m_pageFailures));
        ++m_pageFailures;
        return;
    }
    m_schedule.onReadFailed(m_currentRead, EventLoop::now());
    m_nextReadTimer.startOnce(Duration::zero());
}

void InstanceListReader::updateReadable(bool readable, const std::string &reason)
{
    if (readable == m_readable) {
        return;
    }
    m_readable = readable;
    if (readable) {
        logChange("proxy", "upstream-list-regained", {{"upstreams", std::to_string(m_list.instances.size())}, {"rejected", std::to_string(m_rejected.size())}});
    } else {
        logWarning("proxy", "upstream-list-lost", {{"why", reason}});
    }
}

void InstanceListReader::reportRejected()
{
    std::multiset<std::string> &reported = m_reportedRejected[m_list.dataCentre];
    if (m_rejected == reported) {
        return;
    }
    reported = m_rejected;
    std::string entries;
    std::size_t count = 0;
    for (const std::string &entry : m_rejected) {
        if (++count > MaxLoggedEntries) {
            break;
        }
        entries += (entries.empty() ? "" : "; ") + entry;
    }
    logChange("proxy",
              "upstream-list-entries-rejected",
              {{"data_centre", m_list.dataCentre ? m_list.dataCentre->value : ""}, {"count", std::to_string(m_rejected.size())}, {"entries", entries}});
}

}
