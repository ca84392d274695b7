#include "fakeplatform/fakeplatform.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace cumindyke::test
{

namespace
{

constexpr int Events = 3;

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
    Stream(EventLoop &loop, std::shared_ptr<Exchange> streamExchange)
        : exchange(std::move(streamExchange))
        , timer(loop, [this] { next(); })
    {
        timer.startEvery(std::chrono::milliseconds(100));
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

    std::shared_ptr<Exchange> exchange;
    Timer timer;
    int sent = 0;
};

FakePlatform::FakePlatform(const std::string &host, const std::string &instance, const std::string &service)
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

void FakePlatform::setState(const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_state = state;
}

void FakePlatform::handleRequest(const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->path() == "/instances") {
        replyList(*exchange);
    } else {
        replyUpstreamRequest(exchange);
    }
}

void FakePlatform::replyList(Exchange &exchange) const
{
    const std::lock_guard lock(m_mutex);
    const nlohmann::json entry{
        {"id", m_instance}, {"service", m_service}, {"address", toString(m_address)}, {"zone", "z-a"}, {"version", "v1"}, {"slots", 4}, {"state", m_state}};
    // The last entry is malformed, as if another program had written it.
    const nlohmann::json list{{"instances", {entry, {{"id", 5}}}}, {"next", nullptr}};
    exchange.reply(200, "application/json", list.dump());
}

void FakePlatform::replyUpstreamRequest(const std::shared_ptr<Exchange> &exchange)
{
    exchange->addHeader("Cumindyke-Request-Id", exchange->header("Cumindyke-Request-Id"));
    if (endsWith(exchange->path(), "/full")) {
        exchange->addHeader("Cumindyke-Not-Executed", "1");
        exchange->reply(503, "text/plain", "full\n");
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_seen.push_back(SeenRequest{.method = exchange->method(), .target = exchange->target(), .headers = exchange->headers(), .body = exchange->body()});
    }
    exchange->addHeader("Cumindyke-Runner-Seal", "seal-of-" + m_instance);
    if (endsWith(exchange->path(), "/stream")) {
        exchange->startStream(200, "text/event-stream");
        m_streams.push_back(std::make_unique<Stream>(m_loop, exchange));
        return;
    }
    exchange->reply(200, "text/plain", "ran " + exchange->target() + " " + exchange->body());
}

}
