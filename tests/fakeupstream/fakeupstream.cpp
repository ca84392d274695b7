#include "fakeupstream.h"

#include "faketoken.h"

#include "common/hash.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <cstdlib>
#include <stdexcept>

namespace cumindyke
{

namespace
{

using nlohmann::json;
using nlohmann::ordered_json;

/// Leading bytes of a prompt that count as its shared prefix.
constexpr std::size_t PrefixBytes = 256;
/// Finished streams are removed from this number on.
constexpr std::size_t MaxStreams = 20'000;
constexpr Duration TimeToCrash = std::chrono::milliseconds(30);
constexpr int CrashExitCode = 70;

std::string bodyOf(evhttp_request *request)
{
    evbuffer *buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

std::string headerOf(evhttp_request *request, const char *name)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value ? value : "";
}

void addHeader(evhttp_request *request, const char *name, const std::string &value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

void reply(evhttp_request *request, int status, const json &body)
{
    evbuffer *content = evbuffer_new();
    const std::string text = body.dump() + "\n";
    evbuffer_add(content, text.data(), text.size());
    addHeader(request, "Content-Type", "application/json");
    evhttp_send_reply(request, status, nullptr, content);
    evbuffer_free(content);
}

std::uint64_t queryNumber(evhttp_request *request, const char *name)
{
    const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evkeyvalq pairs{};
    if (!query || evhttp_parse_query_str(query, &pairs) != 0) {
        return 0;
    }
    const char *value = evhttp_find_header(&pairs, name);
    const std::uint64_t number = value ? std::strtoull(value, nullptr, 10) : 0;
    evhttp_clear_headers(&pairs);
    return number;
}

const char *methodName(evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

}

FakeUpstream::FakeUpstream(EventLoop &loop, FakeUpstreamOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_server(evhttp_new(loop.base()))
    , m_engine(m_options.speed)
    , m_stepTimer(loop, [this] { advance(); })
    , m_crashTimer(loop, [] { std::_Exit(CrashExitCode); })
{
    evhttp_bound_socket *socket = evhttp_bind_socket_with_handle(m_server, m_options.host.c_str(), m_options.port);
    if (!socket) {
        evhttp_free(m_server);
        throw std::runtime_error("the port can't be bound");
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&bound), &length);
    m_port = ntohs(bound.sin_port);
    evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(m_server, &FakeUpstream::onRequest, this);
    if (!m_options.logFile.empty()) {
        m_log.open(m_options.logFile, std::ios::app);
    }
}

FakeUpstream::~FakeUpstream()
{
    for (auto &[id, stream] : m_streams) {
        closeReader(stream);
    }
    evhttp_free(m_server);
}

void FakeUpstream::onRequest(evhttp_request *request, void *self)
{
    static_cast<FakeUpstream *>(self)->handle(request);
}

void FakeUpstream::handle(evhttp_request *request)
{
    const std::string method = methodName(request);
    const char *uriPath = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    const std::string path = uriPath ? uriPath : "/";
    constexpr std::string_view StreamsPrefix = "/v1/streams/";
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        runModel(request, path == "/v1/chat/completions");
    } else if (path.starts_with(StreamsPrefix) && method == "GET") {
        resume(request, path.substr(StreamsPrefix.size()));
    } else if (path.starts_with(StreamsPrefix) && method == "DELETE") {
        cancel(request, path.substr(StreamsPrefix.size()));
    } else if (path == "/load") {
        sendLoad(request);
    } else if (path == "/cache/events") {
        sendCacheEvents(request);
    } else if (path == "/orders") {
        handleOrder(request);
    } else if (path == "/faults") {
        handleFaults(request);
    } else {
        runPlain(request, method, path);
    }
}

void FakeUpstream::runModel(evhttp_request *request, bool chat)
{
    const std::string id = headerOf(request, "X-Request-Id");
    addHeader(request, "X-Request-Id", m_faults.crossed ? "crossed-" + id : id);
    if (m_faults.refuse || m_faults.draining) {
        addHeader(request, "X-Not-Run", "1");
        reply(request, 503, {{"error", "refused without running it"}});
        return;
    }
    const json body = json::parse(bodyOf(request), nullptr, false);
    if (!body.is_object() || m_streams.contains(id)) {
        reply(request, 400, {{"error", "not a JSON object, or the id is already running"}});
        return;
    }
    if (m_streams.size() >= MaxStreams) {
        std::erase_if(m_streams, [](const auto &entry) { return entry.second.finished && !entry.second.reader; });
    }
    std::string prompt = body.value("prompt", "");
    for (const json &message : body.value("messages", json::array())) {
        prompt += message.value("content", "") + "\n";
    }
    logEvent("run", id, fingerprint(prompt));
    if (!m_options.crashOn.empty() && prompt.find(m_options.crashOn) != std::string::npos) {
        m_crashTimer.startOnceIfStopped(TimeToCrash);
    }
    if (m_faults.fail) {
        reply(request, 500, {{"error", "failed on command"}});
        return;
    }
    const auto promptTokens = static_cast<std::uint32_t>(prompt.size() / 4 + 1);
    Stream &stream = m_streams[id];
    stream = Stream{
        .id = RequestId{id}, .chat = chat, .promptChecksum = checksum(prompt), .answerTokens = body.value("max_tokens", 256U), .promptTokens = promptTokens};
    attachReader(stream, request);
    m_engine.submit(
        EngineRequest{
            .id = stream.id,
            .prompt = TokenCount{promptTokens},
            .sharedPrefix = TokenCount{std::min<std::uint32_t>(promptTokens, PrefixBytes / 4)},
            .prefix = checksum(std::string_view(prompt).substr(0, PrefixBytes)),
            .answer = TokenCount{stream.answerTokens},
        },
        EventLoop::now());
    scheduleAdvance();
}

void FakeUpstream::attachReader(Stream &stream, evhttp_request *request)
{
    closeReader(stream);
    stream.reader = request;
    stream.headSent = false;
    stream.sentOnConnection = 0;
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &FakeUpstream::onReaderDisconnected, this);
}

void FakeUpstream::closeReader(Stream &stream)
{
    if (!stream.reader) {
        return;
    }
    evhttp_connection *connection = evhttp_request_get_connection(stream.reader);
    stream.reader = nullptr;
    if (connection) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_connection_free(connection);
    }
}

void FakeUpstream::onReaderDisconnected(evhttp_connection *connection, void *self)
{
    for (auto &[id, stream] : static_cast<FakeUpstream *>(self)->m_streams) {
        if (stream.reader && evhttp_request_get_connection(stream.reader) == connection) {
            stream.reader = nullptr;
        }
    }
}

void FakeUpstream::resume(evhttp_request *request, const std::string &id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        reply(request, 404, {{"error", "no such stream"}});
        return;
    }
    logEvent("resume", id, std::to_string(queryNumber(request, "offset")));
    addHeader(request, "X-Request-Id", id);
    Stream &stream = found->second;
    attachReader(stream, request);
    stream.sentTokens = static_cast<std::uint32_t>(queryNumber(request, "offset"));
    sendPending(stream);
}

void FakeUpstream::cancel(evhttp_request *request, const std::string &id)
{
    const auto found = m_streams.find(id);
    if (found != m_streams.end()) {
        m_engine.cancel(found->second.id);
        closeReader(found->second);
        m_streams.erase(found);
        logEvent("cancel", id, "");
    }
    reply(request, 200, {{"cancelled", id}});
}

void FakeUpstream::sendPending(Stream &stream)
{
    if (!stream.reader) {
        return;
    }
    // The reader was killed: libevent has detached the request from its connection without calling onReaderDisconnected, and frees it here.
    if (!evhttp_request_get_connection(stream.reader)) {
        evhttp_send_reply_end(stream.reader);
        stream.reader = nullptr;
        return;
    }
    if (!stream.headSent) {
        stream.headSent = true;
        addHeader(stream.reader, "Content-Type", "text/event-stream");
        addRequestLimit(stream.reader);
        evhttp_send_reply_start(stream.reader, 200, nullptr);
    }
    while (stream.sentTokens < stream.generatedTokens) {
        if (m_faults.silentAfter > 0 && stream.sentOnConnection >= m_faults.silentAfter) {
            return;
        }
        if (m_faults.cutAfter > 0 && stream.sentOnConnection >= m_faults.cutAfter) {
            closeReader(stream);
            return;
        }
        ++stream.sentOnConnection;
        sendToken(stream, stream.sentTokens++);
    }
    if (stream.finished) {
        sendEnd(stream);
    }
}

void FakeUpstream::sendToken(Stream &stream, std::uint32_t index)
{
    const std::string token = fakeToken(stream.promptChecksum, index);
    ordered_json choice{{"index", 0}};
    if (stream.chat) {
        choice["delta"] = {{"content", token}};
    } else {
        choice["text"] = token;
    }
    const std::string event = "id: " + std::to_string(index) + "\ndata: " + ordered_json{{"choices", {choice}}}.dump() + "\n\n";
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, event.data(), event.size());
    evhttp_send_reply_chunk(stream.reader, chunk);
    evbuffer_free(chunk);
}

void FakeUpstream::sendEnd(Stream &stream)
{
    ordered_json choice{{"index", 0}, {"finish_reason", "length"}};
    const ordered_json usage{{"prompt_tokens", stream.promptTokens}, {"completion_tokens", stream.generatedTokens}};
    const std::string events = "data: " + ordered_json{{"choices", {choice}}, {"usage", usage}}.dump() + "\n\ndata: [DONE]\n\n";
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, events.data(), events.size());
    evhttp_connection_set_closecb(evhttp_request_get_connection(stream.reader), nullptr, nullptr);
    evhttp_send_reply_chunk(stream.reader, chunk);
    evhttp_send_reply_end(stream.reader);
    evbuffer_free(chunk);
    stream.reader = nullptr;
}

void FakeUpstream::advance()
{
    for (const EngineEvent &event : m_engine.advance(EventLoop::now())) {
        const auto found = m_streams.find(event.id.value);
        if (found == m_streams.end()) {
            continue;
        }
        Stream &stream = found->second;
        if (event.kind == EngineEvent::Kind::Finished) {
            stream.finished = true;
            logEvent("finished", event.id.value, std::to_string(stream.generatedTokens));
        } else {
            stream.generatedTokens = event.index + 1;
        }
        sendPending(stream);
    }
    scheduleAdvance();
}

void FakeUpstream::scheduleAdvance()
{
    if (const auto next = m_engine.nextEventAt()) {
        m_stepTimer.startOnce(*next - EventLoop::now());
    }
}

void FakeUpstream::handleOrder(evhttp_request *request)
{
    const json order = json::parse(bodyOf(request), nullptr, false);
    const std::uint64_t epoch = order.is_object() ? order.value("epoch", std::uint64_t{0}) : 0;
    if (m_faults.checksFence && epoch < m_highestEpoch) {
        logEvent("order-refused", std::to_string(epoch), order.dump());
        reply(request, 409, {{"error", "an order with a newer epoch was accepted"}, {"epoch", m_highestEpoch}});
        return;
    }
    m_highestEpoch = std::max(m_highestEpoch, epoch);
    if (order.is_object() && order.contains("version")) {
        m_options.version = order["version"].get<std::string>();
    }
    logEvent("order", std::to_string(epoch), order.dump());
    reply(request, 200, {{"version", m_options.version}});
}

void FakeUpstream::handleFaults(evhttp_request *request)
{
    const json faults = json::parse(bodyOf(request), nullptr, false);
    if (!faults.is_object()) {
        reply(request, 400, {{"error", "not a JSON object"}});
        return;
    }
    m_faults.slowness = faults.value("slowness", m_faults.slowness);
    m_faults.refuse = faults.value("refuse", m_faults.refuse);
    m_faults.fail = faults.value("fail", m_faults.fail);
    m_faults.crossed = faults.value("crossed", m_faults.crossed);
    m_faults.cutAfter = faults.value("cut_after", m_faults.cutAfter);
    m_faults.requestLimit = faults.value("request_limit", m_faults.requestLimit);
    m_faults.silentAfter = faults.value("silent_after", m_faults.silentAfter);
    m_faults.draining = faults.value("draining", m_faults.draining);
    m_faults.plainDelayMs = faults.value("plain_delay_ms", m_faults.plainDelayMs);
    m_faults.checksFence = faults.value("checks_fence", m_faults.checksFence);
    m_engine.setSlowness(m_faults.slowness);
    reply(request, 200, {{"faults", "set"}});
}

void FakeUpstream::addRequestLimit(evhttp_request *request) const
{
    if (!m_faults.requestLimit.empty()) {
        addHeader(request, "X-Request-Limit", m_faults.requestLimit);
    }
}

void FakeUpstream::runPlain(evhttp_request *request, const std::string &method, const std::string &path)
{
    const std::string id = headerOf(request, "X-Request-Id");
    addHeader(request, "X-Request-Id", m_faults.crossed ? "crossed-" + id : id);
    if (m_faults.refuse || m_faults.draining) {
        addHeader(request, "X-Not-Run", "1");
        reply(request, 503, {{"error", "refused without running it"}});
        return;
    }
    ++m_plainCallCount;
    addRequestLimit(request);
    logEvent("run", id, method + " " + path + " " + fingerprint(bodyOf(request)));
    if (m_faults.fail) {
        reply(request, 500, {{"error", "failed on command"}});
        return;
    }
    const json answer{{"run", m_plainCallCount}, {"method", method}, {"path", path}, {"body", bodyOf(request)}, {"upstream", m_options.name}};
    if (m_faults.plainDelayMs == 0) {
        reply(request, 200, answer);
        return;
    }
    auto *delayedReply = new std::function<void()>([request, answer] { reply(request, 200, answer); });
    const timeval wait{.tv_sec = m_faults.plainDelayMs / 1000, .tv_usec = (m_faults.plainDelayMs % 1000) * 1000L};
    event_base_once(
        m_loop.base(),
        -1,
        EV_TIMEOUT,
        [](int, short, void *action) {
            const std::unique_ptr<std::function<void()>> ownedAction(static_cast<std::function<void()> *>(action));
            (*ownedAction)();
        },
        delayedReply,
        &wait);
}

void FakeUpstream::sendLoad(evhttp_request *request)
{
    const EngineLoad load = m_engine.reportedLoad(EventLoop::now());
    reply(request,
          200,
          {{"running", load.running},
           {"waiting", load.waiting},
           {"pending_tokens", load.pendingTokens},
           {"generated_tokens", load.generatedTokens},
           {"draining", m_faults.draining},
           {"version", m_options.version}});
}

void FakeUpstream::sendCacheEvents(evhttp_request *request)
{
    json events = json::array();
    for (const CacheEvent &event : m_engine.cacheEvents(queryNumber(request, "after"), EventLoop::now())) {
        events.push_back({{"sequence", event.sequence}, {"prefix", event.prefix}, {"stored", event.stored}});
    }
    reply(request, 200, {{"events", events}});
}

void FakeUpstream::logEvent(const std::string &event, const std::string &id, const std::string &detail)
{
    if (m_log.is_open()) {
        m_log << ordered_json{{"at_us", EventLoop::now().time_since_epoch().count()},
                              {"upstream", m_options.name},
                              {"event", event},
                              {"id", id},
                              {"detail", detail}}
                     .dump()
              << std::endl;
    }
}

}
