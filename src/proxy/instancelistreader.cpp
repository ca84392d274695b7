#include "proxy/instancelistreader.h"

#include "common/log.h"

namespace cumindyke
{

namespace
{

constexpr int StatusOk = 200;
/// The list is small and near: an answer that takes longer is lost.
constexpr ProgressTimeouts ListTimeouts{.connect = std::chrono::milliseconds(500),
                                        .firstByte = std::chrono::milliseconds(800),
                                        .betweenBytes = std::chrono::milliseconds(800)};
/// Against a list whose pages never end: 50 entries a page make this 10,000 upstreams.
constexpr std::size_t MostPages = 200;
constexpr std::size_t MostPageBytes = 4 << 20;
/// The platform takes so many calls a second from all VMs together: a page that it refused is asked for again, later each time, and those before it are kept.
constexpr Duration FirstRetry = std::chrono::milliseconds(100);
constexpr int MostRetriesOfPage = 4;

}

InstanceListReader::InstanceListReader(EventLoop &loop, InstanceListProtocol protocol, DataCentreName here, Duration interval)
    : m_loop(loop)
    , m_protocol(std::move(protocol))
    , m_schedule(std::move(here), interval)
    , m_next(loop, [this] { readNext(); })
    , m_retry(loop, [this] { fetch(); })
{
}

void InstanceListReader::start()
{
    m_schedule.reset();
    m_next.startOnce(Duration::zero());
}

void InstanceListReader::stop()
{
    m_next.stop();
    m_retry.stop();
    m_call.reset();
}

void InstanceListReader::setFartherWanted(bool wanted)
{
    if (wanted != m_fartherWanted && m_schedule.readsInParts()) {
        logChange("proxy", "farther-upstreams", {{"read", wanted ? "yes" : "no"}});
    }
    m_fartherWanted = wanted;
}

void InstanceListReader::readNext()
{
    const TimePoint now = EventLoop::now();
    const std::optional<ListRead> reading = m_schedule.nextRead(m_fartherWanted, now);
    if (!reading) {
        m_next.startOnce(m_schedule.timeUntilNextCheck(now));
        return;
    }
    m_reading = *reading;
    m_gathered = {};
    if (m_reading.scope == ListRead::Scope::DataCentre) {
        m_gathered.dataCentre = m_reading.dataCentre;
    }
    m_pages = 0;
    m_rejected = 0;
    m_failuresOfPage = 0;
    fetch();
}

void InstanceListReader::fetch()
{
    m_status = 0;
    m_body.clear();
    UpstreamRequest request{.id = RequestId{"list"},
                            .address = m_protocol.address,
                            .method = "GET",
                            .target = m_protocol.target(m_gathered.dataCentre, m_reading.pageToken),
                            .headers = {},
                            .body = {}};
    request.mayEndWithConnection = true;
    m_call = std::make_unique<UpstreamCall>(m_loop, std::move(request), ListTimeouts);
    m_call->head().connect([this](const AnswerHead &head) { m_status = head.status; });
    m_call->data().connect([this](std::string_view bytes) {
        if (m_body.size() < MostPageBytes) {
            m_body += bytes;
        }
    });
    m_call->finished().connect([this] { takePage(); });
    m_call->failed().connect([this](CallFailure) { pageFailed("the call was lost"); });
    m_call->start();
}

void InstanceListReader::takePage()
{
    if (m_status != StatusOk) {
        pageFailed("status " + std::to_string(m_status));
        return;
    }
    Result<InstancePage> page = m_protocol.parse(m_body);
    if (!ok(page)) {
        pageFailed(errorOf(page).message);
        return;
    }
    const TimePoint now = EventLoop::now();
    InstancePage &read = valueOf(page);
    for (const UpstreamInstance &instance : read.instances) {
        m_schedule.addDataCentre(instance.dataCentre);
    }
    m_failuresOfPage = 0;
    m_rejected += read.rejected;
    ++m_pages;
    m_reading.pageToken = read.nextPage;
    if (m_reading.scope == ListRead::Scope::Discovery) {
        m_schedule.onDiscoveryPageRead(read.nextPage, now);
        m_next.startOnce(Duration::zero());
        return;
    }
    m_gathered.instances.insert(m_gathered.instances.end(), read.instances.begin(), read.instances.end());
    const bool switchToParts = m_reading.scope == ListRead::Scope::Whole && m_pages >= ListSchedule::MaxWholePages && !read.nextPage.empty();
    if (switchToParts) {
        m_schedule.switchToParts();
        m_next.startOnce(Duration::zero());
    } else if (!read.nextPage.empty() && m_pages < MostPages) {
        fetch();
    } else {
        takeLast(now);
        return;
    }
    if (!m_everRead) {
        m_read.emit(m_gathered);
    }
}

void InstanceListReader::takeLast(TimePoint now)
{
    if (m_reading.scope == ListRead::Scope::Whole) {
        m_schedule.onWholeRead(now);
    } else {
        m_schedule.onPartRead(m_reading.dataCentre, now);
    }
    m_everRead = true;
    noteReadable(true, "");
    m_read.emit(m_gathered);
    m_next.startOnce(Duration::zero());
}

void InstanceListReader::pageFailed(const std::string &why)
{
    noteReadable(false, why);
    m_unreadable.emit();
    if (m_failuresOfPage < MostRetriesOfPage) {
        m_retry.startOnce(FirstRetry * (1 << m_failuresOfPage));
        ++m_failuresOfPage;
        return;
    }
    m_schedule.onReadFailed(m_reading, EventLoop::now());
    m_next.startOnce(Duration::zero());
}

void InstanceListReader::noteReadable(bool readable, const std::string &why)
{
    if (readable == m_readable) {
        return;
    }
    m_readable = readable;
    if (readable) {
        logChange("proxy", "upstream-list-regained", {{"upstreams", std::to_string(m_gathered.instances.size())}, {"rejected", std::to_string(m_rejected)}});
    } else {
        logWarning("proxy", "upstream-list-lost", {{"why", why}});
    }
}

}
