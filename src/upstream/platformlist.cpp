#include "upstream/platformlist.h"

#include "common/address.h"
#include "common/jsonlist.h"
#include "common/log.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace cumindyke
{

namespace
{

constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr std::string_view HttpPrefix = "http://";
constexpr std::size_t MaxListBytes = 4U << 20;
constexpr ProgressTimeouts FetchTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(1), .betweenBytes = std::chrono::seconds(1)};

}

Result<PlatformVms> parsePlatformList(const std::string &json)
{
    const std::optional<JsonList> list = splitJsonList(json, "vms");
    if (!list) {
        return Error{ErrorKind::Invalid, R"(the platform's list is not a JSON object with "vms": check the setting platform_list)"};
    }
    PlatformVms vms;
    for (const std::string_view entry : list->entries) {
        const nlohmann::json vm = nlohmann::json::parse(entry, nullptr, false);
        const bool hasFields = vm.is_object() && vm.contains("address") && vm["address"].is_string() && vm.contains("state") && vm["state"].is_string();
        if (!hasFields) {
            ++vms.rejectedCount;
            continue;
        }
        if (vm["state"] == "leaving") {
            vms.leaving.insert(vm["address"].get<std::string>());
        }
    }
    return vms;
}

std::set<UpstreamName> drainingUpstreams(const LeavingVms &leaving, const Declarations &declarations)
{
    std::set<UpstreamName> upstreams;
    if (leaving.empty()) {
        return upstreams;
    }
    for (const auto &[name, upstream] : declarations.upstreams()) {
        if (leaving.contains(upstream.address.host) || leaving.contains(toString(upstream.address))) {
            upstreams.insert(name);
        }
    }
    return upstreams;
}

PlatformList::PlatformList(EventLoop &loop, const std::string &source)
    : m_loop(loop)
    , m_source(source)
    , m_pollTimer(loop, [this] { poll(); })
{
    m_pollTimer.startEvery(PollInterval);
}

void PlatformList::poll()
{
    if (m_source.starts_with(HttpPrefix)) {
        fetch();
        return;
    }
    std::ifstream file(m_source);
    std::stringstream content;
    content << file.rdbuf();
    handleContent(content.str());
}

void PlatformList::fetch()
{
    if (m_call) {
        return;
    }
    const std::string location = m_source.substr(HttpPrefix.size());
    const std::size_t slash = location.find('/');
    const Result<Address> address = parseAddress(location.substr(0, slash));
    if (!ok(address)) {
        setReadable(false);
        return;
    }
    m_body.clear();
    m_call = std::make_unique<UpstreamCall>(m_loop,
                                            UpstreamRequest{
                                                .id = {},
                                                .address = valueOf(address),
                                                .method = "GET",
                                                .target = slash == std::string::npos ? "/" : location.substr(slash),
                                                .headers = {},
                                                .body = {},
                                                .maxAnswerBytes = MaxListBytes,
                                            },
                                            FetchTimeouts);
    m_call->data().connect([this](std::string_view bytes) { m_body += bytes; });
    m_call->finished().connect([this] {
        m_call.reset();
        handleContent(m_body);
    });
    m_call->failed().connect([this](CallFailure) {
        m_call.reset();
        setReadable(false);
    });
    m_call->start();
}

void PlatformList::handleContent(const std::string &json)
{
    Result<PlatformVms> list = parsePlatformList(json);
    setReadable(ok(list));
    if (!ok(list)) {
        return;
    }
    PlatformVms &vms = valueOf(list);
    if (std::exchange(m_rejectedCount, vms.rejectedCount) != vms.rejectedCount) {
        logChange("upstream", "platform-list-entries-rejected", {{"count", std::to_string(vms.rejectedCount)}});
    }
    if (vms.leaving == m_leaving) {
        return;
    }
    m_leaving = std::move(vms.leaving);
    logChange("upstream", "leaving-vms", {{"count", std::to_string(m_leaving.size())}});
    m_changed.emit(m_leaving);
}

void PlatformList::setReadable(bool readable)
{
    if (std::exchange(m_readable, readable) == readable) {
        return;
    }
    if (readable) {
        logChange("upstream", "platform-list-readable");
    } else {
        logWarning("upstream", "platform-list-unreadable", {{"source", m_source}});
    }
}

}
