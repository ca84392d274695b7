#include "cell/loadpoller.h"

#include "common/hash.h"

#include <nlohmann/json.hpp>

namespace cumindyke
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxAnswerBytes = 1U << 20;
constexpr ProgressTimeouts AskTimeouts{
    .connect = std::chrono::milliseconds(500),
    .firstByte = std::chrono::seconds(1),
    .betweenBytes = std::chrono::seconds(1),
};

Error notUnderstood(const char *path)
{
    return Error{ErrorKind::UpstreamFailed, std::string("the engine's ") + path + " can't be read: check that its version answers as docs/UPSTREAMS.md says"};
}

std::uint64_t numberIn(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_number_unsigned() ? object[key].get<std::uint64_t>() : 0;
}

bool flagIn(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_boolean() && object[key].get<bool>();
}

}

Result<LoadReport> parseLoadReport(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return notUnderstood("/load");
    }
    LoadReport report{
        .running = static_cast<std::uint32_t>(numberIn(body, "running")),
        .waiting = static_cast<std::uint32_t>(numberIn(body, "waiting")),
        .pendingTokens = numberIn(body, "pending_tokens"),
        .generatedTokens = numberIn(body, "generated_tokens"),
        .draining = flagIn(body, "draining"),
        .version = {},
    };
    if (body.contains("version") && body["version"].is_string()) {
        report.version = VersionName{body["version"].get<std::string>()};
    }
    return report;
}

Result<std::vector<PrefixEvent>> parsePrefixEvents(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("events") || !body["events"].is_array()) {
        return notUnderstood("/cache/events");
    }
    std::vector<PrefixEvent> events;
    for (const json &event : body["events"]) {
        if (!event.is_object()) {
            continue;
        }
        events.push_back(PrefixEvent{.sequence = numberIn(event, "sequence"), .prefix = numberIn(event, "prefix"), .stored = flagIn(event, "stored")});
    }
    return events;
}

class LoadPoller::Asker
{
public:
    Asker(LoadPoller &watch, Upstream upstream)
        : m_watch(watch)
        , m_upstream(std::move(upstream))
        , m_next(watch.m_loop, [this] { askLoad(); })
    {
        // Spread over the interval by name, so that a scheduler's asks never come in one burst.
        const auto offset = static_cast<Duration::rep>(checksum(m_upstream.name.value) % static_cast<std::uint64_t>(watch.m_interval.count()));
        m_next.startOnce(Duration(offset));
    }

    const Address &address() const
    {
        return m_upstream.address;
    }

private:
    void askLoad()
    {
        m_asked = EventLoop::now();
        ask("/load", [this](const std::string &body) {
            const Result<LoadReport> report = parseLoadReport(body);
            if (ok(report)) {
                m_watch.m_loadCame.emit(m_upstream.name, valueOf(report));
            }
            askPrefixEvents();
        });
    }

    void askPrefixEvents()
    {
        ask("/cache/events?after=" + std::to_string(m_lastSequence), [this](const std::string &body) {
            const Result<std::vector<PrefixEvent>> events = parsePrefixEvents(body);
            if (ok(events) && !valueOf(events).empty()) {
                m_lastSequence = valueOf(events).back().sequence;
                m_watch.m_prefixEventsCame.emit(m_upstream.name, valueOf(events));
            }
            rest();
        });
    }

    void rest()
    {
        m_next.startOnce(m_asked + m_watch.m_interval - EventLoop::now());
    }

    void ask(const std::string &target, std::function<void(const std::string &)> take)
    {
        m_body.clear();
        m_call = std::make_unique<UpstreamCall>(
            m_watch.m_loop,
            UpstreamRequest{.id = {}, .address = m_upstream.address, .method = "GET", .target = target, .headers = {}, .body = {}},
            AskTimeouts);
        m_call->data().connect([this](std::string_view bytes) {
            if (m_body.size() + bytes.size() <= MaxAnswerBytes) {
                m_body += bytes;
            }
        });
        m_call->finished().connect([this, take = std::move(take)] {
            m_watch.m_reachable.emit(m_upstream.name);
            take(m_body);
        });
        m_call->failed().connect([this](CallFailure /*failure*/) {
            m_watch.m_unreachable.emit(m_upstream.name);
            rest();
        });
        m_call->start();
    }

    LoadPoller &m_watch;
    const Upstream m_upstream;
    Timer m_next;
    std::unique_ptr<UpstreamCall> m_call;
    std::string m_body;
    std::uint64_t m_lastSequence = 0;
    TimePoint m_asked;
};

LoadPoller::LoadPoller(EventLoop &loop, Duration interval)
    : m_loop(loop)
    , m_interval(interval)
{
}

void LoadPoller::setUpstreams(const std::vector<Upstream> &upstreams)
{
    std::map<UpstreamName, std::shared_ptr<Asker>> askers;
    for (const Upstream &upstream : upstreams) {
        const auto known = m_askers.find(upstream.name);
        const bool same = known != m_askers.end() && known->second->address() == upstream.address;
        askers.emplace(upstream.name, same ? known->second : std::make_shared<Asker>(*this, upstream));
    }
    m_askers.swap(askers);
}

}
