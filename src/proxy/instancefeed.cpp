#include "proxy/instancefeed.h"

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

}

InstanceFeed::InstanceFeed(EventLoop &loop, InstanceListProtocol protocol, Duration interval)
    : m_loop(loop)
    , m_protocol(std::move(protocol))
    , m_interval(interval)
    , m_next(loop, [this] {
        m_gathered.clear();
        m_pages = 0;
        m_rejected = 0;
        fetch("");
    })
{
}

void InstanceFeed::start()
{
    m_next.startOnce(Duration::zero());
}

void InstanceFeed::stop()
{
    m_next.stop();
    m_call.reset();
}

void InstanceFeed::fetch(const std::string &pageToken)
{
    m_status = 0;
    m_body.clear();
    UpstreamRequest request{
        .id = RequestId{"list"}, .address = m_protocol.address, .method = "GET", .target = m_protocol.target(pageToken), .headers = {}, .body = {}};
    request.mayEndWithConnection = true;
    m_call = std::make_unique<UpstreamCall>(m_loop, std::move(request), ListTimeouts);
    m_call->head().connect([this](const AnswerHead &head) { m_status = head.status; });
    m_call->data().connect([this](std::string_view bytes) {
        if (m_body.size() < MostPageBytes) {
            m_body += bytes;
        }
    });
    m_call->finished().connect([this] { takePage(); });
    m_call->failed().connect([this](CallFailure) { failed("the call was lost"); });
    m_call->start();
}

void InstanceFeed::takePage()
{
    if (m_status != StatusOk) {
        failed("status " + std::to_string(m_status));
        return;
    }
    Result<InstancePage> page = m_protocol.parse(m_body);
    if (!ok(page)) {
        failed(errorOf(page).message);
        return;
    }
    InstancePage &read = valueOf(page);
    m_gathered.insert(m_gathered.end(), read.instances.begin(), read.instances.end());
    m_rejected += read.rejected;
    ++m_pages;
    if (!read.nextPage.empty() && m_pages < MostPages) {
        fetch(read.nextPage);
        return;
    }
    noteReadable(true, "");
    m_read.emit(m_gathered);
    m_next.startOnce(m_interval);
}

void InstanceFeed::failed(const std::string &why)
{
    noteReadable(false, why);
    m_unreadable.emit();
    m_next.startOnce(m_interval);
}

void InstanceFeed::noteReadable(bool readable, const std::string &why)
{
    if (readable == m_readable) {
        return;
    }
    m_readable = readable;
    if (readable) {
        logChange("proxy", "upstream-list-regained", {{"upstreams", std::to_string(m_gathered.size())}, {"rejected", std::to_string(m_rejected)}});
    } else {
        logWarning("proxy", "upstream-list-lost", {{"why", why}});
    }
}

}
