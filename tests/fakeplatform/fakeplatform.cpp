#include "fakeplatform/fakeplatform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace cumindyke::test
{

namespace
{

constexpr int Events = 3;
constexpr Duration EventInterval = std::chrono::milliseconds(100);
constexpr Duration SlowEventInterval = std::chrono::milliseconds(1400);
/// From the start of a crashing request's run to the end of the process.
constexpr Duration TimeToCrash = std::chrono::milliseconds(30);

bool hasCrashingPart(const std::string &promptParts)
{
    return ("," + promptParts).find(std::string(",") + FakePlatform::CrashingPart + ":") < promptParts.rfind(',');
}

bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

}

std::string SeenRequest::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

/// A streamed answer, sent one event at a time.
struct FakePlatform::Stream
{
    Stream(EventLoop &loop, std::string streamUpstream, std::shared_ptr<Exchange> streamExchange, Duration interval)
        : upstream(std::move(streamUpstream))
        , exchange(std::move(streamExchange))
        , timer(loop, [this] { next(); })
    {
        timer.startEvery(interval);
    }

    void next()
    {
        if (sent == Events) {
            timer.stop();
            exchange->endStream();
            return;
        }
        ++sent;
        exchange->streamData("id: " + std::to_string(sent) + "\ndata: part " + std::to_string(sent) + "\n\n");
    }

    /// Closes the connection without an end of the answer.
    void abort()
    {
        timer.stop();
        exchange->abort();
    }

    std::string upstream;
    std::shared_ptr<Exchange> exchange;
    Timer timer;
    int sent = 0;
};

FakePlatform::FakePlatform(const std::string &host,
                           const std::string &instance,
                           const std::string &service,
                           const std::vector<std::string> &upstreamHosts,
                           const std::vector<std::string> &dataCentres)
    : m_instance(instance)
    , m_service(service)
    , m_address{.host = host, .port = 0}
{
    auto door = HttpServer::listen(m_loop, m_address, std::chrono::seconds(30));
    if (!ok(door)) {
        throw std::runtime_error(errorOf(door).message);
    }
    m_door = std::move(valueOf(door));
    m_address.port = m_door->port();
    m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { handleRequest(exchange); });
    for (const std::string &upstreamHost : upstreamHosts) {
        m_upstreams.push_back(std::make_unique<Upstream>());
        m_upstreams.back()->dataCentre = dataCentres[(m_upstreams.size() - 1) % dataCentres.size()];
        m_upstreams.back()->address.host = upstreamHost;
        start(*m_upstreams.back());
    }
    m_thread = std::thread([this] { m_loop.run(); });
}

FakePlatform::~FakePlatform()
{
    m_loop.stop();
    m_thread.join();
}

std::vector<SeenRequest> FakePlatform::seen() const
{
    const std::lock_guard lock(m_mutex);
    return m_seen;
}

std::size_t FakePlatform::seenWithCrashingPart() const
{
    const std::vector<SeenRequest> requests = seen();
    return static_cast<std::size_t>(
        std::ranges::count_if(requests, [](const SeenRequest &run) { return hasCrashingPart(run.header("Cumindyke-Prompt-Prefix")); }));
}

void FakePlatform::setState(const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_state = state;
}

void FakePlatform::addUpstream(const std::string &instance, const Address &address)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_otherUpstreams, [&address](const auto &upstream) { return upstream.second == address; });
    m_otherUpstreams.emplace_back(instance, address);
}

void FakePlatform::setRequestLimit(const std::string &limit)
{
    const std::lock_guard lock(m_mutex);
    m_requestLimit = limit;
}

Address FakePlatform::addressOf(const std::string &instance) const
{
    const std::lock_guard lock(m_mutex);
    const auto isNamed = [&instance](const std::unique_ptr<Upstream> &upstream) { return upstream->instance == instance; };
    return (*std::ranges::find_if(m_upstreams, isNamed))->address;
}

void FakePlatform::setListBody(const std::string &body)
{
    const std::lock_guard lock(m_mutex);
    m_listBody = body;
}

void FakePlatform::setSlots(int slots)
{
    const std::lock_guard lock(m_mutex);
    m_slots = slots;
}

void FakePlatform::setRefusing(const std::string &instance, const HeaderList &headers)
{
    const std::lock_guard lock(m_mutex);
    m_refusingInstance = instance;
    m_refusalHeaders = headers;
}

void FakePlatform::setAnswerHeaders(const std::string &instance, const HeaderList &headers)
{
    const std::lock_guard lock(m_mutex);
    m_instanceWithHeaders = instance;
    m_answerHeaders = headers;
}

std::vector<TimePoint> FakePlatform::refusals() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals;
}

void FakePlatform::setColdRate(std::size_t perSecond)
{
    const std::lock_guard lock(m_mutex);
    m_coldRate = perSecond;
}

std::vector<std::string> FakePlatform::upstreamsIn(const std::string &dataCentre) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const std::unique_ptr<Upstream> &upstream : m_upstreams) {
        if (upstream->dataCentre == dataCentre) {
            names.push_back(upstream->instance);
        }
    }
    return names;
}

int FakePlatform::endedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_endedCount;
}

void FakePlatform::start(Upstream &upstream)
{
    auto door = HttpServer::listen(m_loop, upstream.address, std::chrono::seconds(30));
    if (!ok(door)) {
        throw std::runtime_error(errorOf(door).message);
    }
    upstream.door = std::move(valueOf(door));
    upstream.door->arrived().connect([this, &upstream](const std::shared_ptr<Exchange> &exchange) { handleUpstreamRequest(upstream, exchange); });
    const std::lock_guard lock(m_mutex);
    upstream.address.port = upstream.door->port();
    upstream.instance = "i-" + upstream.address.host + "-" + std::to_string(++upstream.starts);
}

void FakePlatform::end(Upstream &upstream)
{
    {
        // Before any caller can notice the end.
        const std::lock_guard lock(m_mutex);
        ++m_endedCount;
    }
    for (const std::shared_ptr<Exchange> &exchange : upstream.crashing) {
        exchange->abort();
    }
    for (const std::unique_ptr<Stream> &stream : m_streams) {
        if (stream->upstream == upstream.instance) {
            stream->abort();
        }
    }
    upstream.crashing.clear();
    upstream.door.reset();
    m_loop.releaseLater(std::shared_ptr<Timer>(std::move(upstream.timer)));
    upstream.timer = std::make_unique<Timer>(m_loop, [this, &upstream] { start(upstream); });
    upstream.timer->startOnce(RestartDelay);
}

bool FakePlatform::exceedsColdRate(Upstream &upstream)
{
    const TimePoint now = EventLoop::now();
    upstream.arrivals.push_back(now);
    while (now - upstream.arrivals.front() >= std::chrono::seconds(1)) {
        upstream.arrivals.pop_front();
    }
    const std::lock_guard lock(m_mutex);
    return m_coldRate && upstream.arrivals.size() > *m_coldRate;
}

void FakePlatform::handleUpstreamRequest(Upstream &upstream, const std::shared_ptr<Exchange> &exchange)
{
    const bool crashes = exceedsColdRate(upstream) || exchange->body() == CrashingBody || hasCrashingPart(exchange->header("Cumindyke-Prompt-Prefix"));
    if (!crashes) {
        replyUpstreamRequest(upstream.instance, exchange);
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_seen.push_back(SeenRequest{.upstream = upstream.instance,
                                     .method = exchange->method(),
                                     .target = exchange->target(),
                                     .headers = exchange->headers(),
                                     .body = exchange->body()});
    }
    exchange->addHeader("Cumindyke-Request-Id", exchange->header("Cumindyke-Request-Id"));
    exchange->addHeader("Cumindyke-Runner-Seal", "seal-of-" + upstream.instance);
    exchange->startStream(200, "text/event-stream");
    upstream.crashing.push_back(exchange);
    if (upstream.crashing.size() == 1) {
        upstream.timer = std::make_unique<Timer>(m_loop, [this, &upstream] { end(upstream); });
        upstream.timer->startOnce(TimeToCrash);
    }
}

void FakePlatform::handleRequest(const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->path() == "/instances") {
        replyList(*exchange);
    } else {
        replyUpstreamRequest(m_instance, exchange);
    }
}

void FakePlatform::replyList(Exchange &exchange) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = [this](const std::string &instance, const Address &address, const std::string &dataCentre) {
        return nlohmann::json{{"id", instance},
                              {"service", m_service},
                              {"address", toString(address)},
                              {"zone", dataCentre},
                              {"version", "v1"},
                              {"slots", m_slots},
                              {"state", m_state},
                              {"coldRemainingMs", 0}};
    };
    if (m_listBody) {
        exchange.reply(200, "application/json", *m_listBody);
        return;
    }
    // The second entry is malformed, as if another program had written it.
    nlohmann::json list{{"instances", {entry(m_instance, m_address, "z-a"), {{"id", 5}}}}, {"next", nullptr}};
    if (!m_upstreams.empty() || !m_otherUpstreams.empty()) {
        list["instances"].erase(0);
    }
    for (const auto &[instance, address] : m_otherUpstreams) {
        list["instances"].push_back(entry(instance, address, "z-a"));
    }
    for (const std::unique_ptr<Upstream> &upstream : m_upstreams) {
        list["instances"].push_back(entry(upstream->instance, upstream->address, upstream->dataCentre));
    }
    exchange.reply(200, "application/json", list.dump());
}

bool FakePlatform::refuse(const std::string &instance, Exchange &exchange)
{
    const std::lock_guard lock(m_mutex);
    if (instance != m_refusingInstance) {
        return false;
    }
    m_refusals.push_back(EventLoop::now());
    exchange.addHeader("Cumindyke-Not-Executed", "1");
    for (const auto &[name, value] : m_refusalHeaders) {
        exchange.addHeader(name, value);
    }
    exchange.reply(503, "text/plain", "full\n");
    return true;
}

void FakePlatform::replyUpstreamRequest(const std::string &instance, const std::shared_ptr<Exchange> &exchange)
{
    exchange->addHeader("Cumindyke-Request-Id", exchange->header("Cumindyke-Request-Id"));
    if (refuse(instance, *exchange)) {
        return;
    }
    if (endsWith(exchange->path(), "/full")) {
        exchange->addHeader("Cumindyke-Not-Executed", "1");
        exchange->reply(503, "text/plain", "full\n");
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_seen.push_back(SeenRequest{
            .upstream = instance, .method = exchange->method(), .target = exchange->target(), .headers = exchange->headers(), .body = exchange->body()});
    }
    exchange->addHeader("Cumindyke-Runner-Seal", "seal-of-" + instance);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, value] : instance == m_instanceWithHeaders ? m_answerHeaders : HeaderList{}) {
            exchange->addHeader(name, value);
        }
        if (!m_requestLimit.empty()) {
            exchange->addHeader("Server-Limit", m_requestLimit);
        }
    }
    const bool isSlow = endsWith(exchange->path(), "/slow-stream");
    if (isSlow || endsWith(exchange->path(), "/stream")) {
        exchange->startStream(200, "text/event-stream");
        m_streams.push_back(std::make_unique<Stream>(m_loop, instance, exchange, isSlow ? SlowEventInterval : EventInterval));
        return;
    }
    exchange->reply(200, "text/plain", "ran " + exchange->target() + " " + exchange->body());
}

}
