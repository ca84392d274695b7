#include "cell/loadpoller.h"

#include "common/hash.h"
#include "common/jsonlist.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace cumindyke
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxAnswerBytes = 1U << 20;
constexpr ProgressTimeouts PollTimeouts{
    .connect = std::chrono::milliseconds(500),
    .firstByte = std::chrono::seconds(1),
    .betweenBytes = std::chrono::seconds(1),
};

/// Longer than the name of any version.
constexpr std::size_t MaxVersionBytes = 256;

Error unreadableAnswer(const char *path)
{
    return Error{ErrorKind::UpstreamFailed, std::string("the engine's ") + path + " can't be read: check that its version answers as docs/UPSTREAMS.md says"};
}

std::uint64_t numberOrZero(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_number_unsigned() ? object[key].get<std::uint64_t>() : 0;
}

/// A larger number counts as the largest.
std::uint32_t countOrZero(const json &object, const char *key)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(numberOrZero(object, key), std::numeric_limits<std::uint32_t>::max()));
}

bool flagOrFalse(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_boolean() && object[key].get<bool>();
}

}

Result<LoadReport> parseLoadReport(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return unreadableAnswer("/load");
    }
    LoadReport report{
        .running = countOrZero(body, "running"),
        .waiting = countOrZero(body, "waiting"),
        .pendingTokens = numberOrZero(body, "pending_tokens"),
        .generatedTokens = numberOrZero(body, "generated_tokens"),
        .draining = flagOrFalse(body, "draining"),
        .version = {},
    };
    const std::string version = body.contains("version") && body["version"].is_string() ? body["version"].get<std::string>() : "";
    if (version.size() <= MaxVersionBytes) {
        report.version = VersionName{version};
    }
    return report;
}

Result<std::vector<PrefixEvent>> parsePrefixEvents(std::string_view text)
{
    const std::optional<JsonList> list = splitJsonList(text, "events");
    if (!list) {
        return unreadableAnswer("/cache/events");
    }
    std::vector<PrefixEvent> events;
    for (const std::string_view entry : list->entries) {
        const json event = json::parse(entry, nullptr, false);
        // An event without a number would make the next poll begin with the first event again.
        if (!event.is_object() || numberOrZero(event, "sequence") == 0) {
            continue;
        }
        events.push_back(
            PrefixEvent{.sequence = numberOrZero(event, "sequence"), .prefix = numberOrZero(event, "prefix"), .stored = flagOrFalse(event, "stored")});
    }
    return events;
}

class LoadPoller::UpstreamPoller
{
public:
    UpstreamPoller(LoadPoller &owner, Upstream upstream)
        : m_owner(owner)
        , m_upstream(std::move(upstream))
        , m_pollTimer(owner.m_loop, [this] { pollLoad(); })
    {
        // The polls are spread over the interval by the upstreams' names, so that a scheduler does not poll all upstreams in one burst.
        const auto offset = static_cast<Duration::rep>(checksum(m_upstream.name.value) % static_cast<std::uint64_t>(owner.m_interval.count()));
        m_pollTimer.startOnce(Duration(offset));
    }

    const Address &address() const
    {
        return m_upstream.address;
    }

private:
    void pollLoad()
    {
        m_pollStartedAt = EventLoop::now();
        get("/load", [this](const std::string &body) {
            const Result<LoadReport> report = parseLoadReport(body);
            if (ok(report)) {
                m_owner.m_loadReceived.emit(m_upstream.name, valueOf(report));
            }
            pollPrefixEvents();
        });
    }

    void pollPrefixEvents()
    {
        get("/cache/events?after=" + std::to_string(m_lastSequence), [this](const std::string &body) {
            const Result<std::vector<PrefixEvent>> events = parsePrefixEvents(body);
            if (ok(events) && !valueOf(events).empty()) {
                m_lastSequence = valueOf(events).back().sequence;
                m_owner.m_prefixEventsReceived.emit(m_upstream.name, valueOf(events));
            }
            scheduleNextPoll();
        });
    }

    void scheduleNextPoll()
    {
        m_pollTimer.startOnce(m_pollStartedAt + m_owner.m_interval - EventLoop::now());
    }

    void get(const std::string &target, std::function<void(const std::string &)> handleBody)
    {
        m_body.clear();
        m_call = std::make_unique<UpstreamCall>(
            m_owner.m_loop,
            UpstreamRequest{
                .id = {}, .address = m_upstream.address, .method = "GET", .target = target, .headers = {}, .body = {}, .maxAnswerBytes = MaxAnswerBytes},
            PollTimeouts);
        m_call->data().connect([this](std::string_view bytes) { m_body += bytes; });
        m_call->finished().connect([this, handleBody = std::move(handleBody)] {
            m_owner.m_reachable.emit(m_upstream.name);
            handleBody(m_body);
        });
        m_call->failed().connect([this](CallFailure /*failure*/) {
            m_owner.m_unreachable.emit(m_upstream.name);
            scheduleNextPoll();
        });
        m_call->start();
    }

    LoadPoller &m_owner;
    const Upstream m_upstream;
    Timer m_pollTimer;
    std::unique_ptr<UpstreamCall> m_call;
    std::string m_body;
    std::uint64_t m_lastSequence = 0;
    TimePoint m_pollStartedAt;
};

LoadPoller::LoadPoller(EventLoop &loop, Duration interval)
    : m_loop(loop)
    , m_interval(interval)
{
}

void LoadPoller::setUpstreams(const std::vector<Upstream> &upstreams)
{
    std::map<UpstreamName, std::shared_ptr<UpstreamPoller>> pollers;
    for (const Upstream &upstream : upstreams) {
        const auto known = m_pollers.find(upstream.name);
        const bool isUnchanged = known != m_pollers.end() && known->second->address() == upstream.address;
        pollers.emplace(upstream.name, isUnchanged ? known->second : std::make_shared<UpstreamPoller>(*this, upstream));
    }
    m_pollers.swap(pollers);
}

}
