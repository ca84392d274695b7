#include "control/orderrunner.h"

#include "common/log.h"

#include <nlohmann/json.hpp>

namespace cumindyke
{

namespace
{

/// Their sum is shorter than OrderOptions::orderTimeout: after that time no data of a call may still be in flight from this VM.
constexpr ProgressTimeouts CallTimeouts{
    .connect = std::chrono::seconds(1),
    .firstByte = std::chrono::seconds(2),
    .betweenBytes = std::chrono::seconds(1),
};
constexpr std::size_t MaxBodyBytes = 64 << 10;
constexpr int StatusConflict = 409;

const char *argumentName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadVersion:
        return "version";
    case OrderKind::LoadAdapter:
        return "adapter";
    case OrderKind::ChangeRole:
        return "role";
    }
    return "version";
}

UpstreamRequest requestFor(const OrderStep &step, const Address &address)
{
    UpstreamRequest request{.id = {}, .address = address, .method = "GET", .target = "/load", .headers = {}, .body = {}, .maxAnswerBytes = MaxBodyBytes};
    if (step.action == OrderStep::Action::Send) {
        const nlohmann::ordered_json order{
            {"epoch", step.epoch.value}, {"kind", toString(step.order.kind)}, {argumentName(step.order.kind), step.order.argument}};
        request.method = "POST";
        request.target = "/orders";
        request.headers.emplace_back("Content-Type", "application/json");
        request.body = order.dump();
    }
    return request;
}

}

std::optional<LoadedState> parseLoadedState(const std::string &json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version") || !parsed["version"].is_string()) {
        return {};
    }
    const bool loading = parsed.contains("loading") && parsed["loading"].is_boolean() && parsed["loading"].get<bool>();
    return LoadedState{.argument = parsed["version"].get<std::string>(), .loading = loading};
}

OrderRunner::OrderRunner(EventLoop &loop, OrderOptions options, std::uint64_t seed)
    : m_loop(loop)
    , m_orderBook(options, seed)
{
}

OrderRunner::~OrderRunner() = default;

void OrderRunner::startLeading(Epoch epoch, TimePoint formerLeaderUntil)
{
    m_orderBook.startLeading(epoch, formerLeaderUntil);
}

void OrderRunner::stopLeading()
{
    m_orderBook.stopLeading();
    m_calls.clear();
}

void OrderRunner::setDeclarations(const Declarations &declarations)
{
    std::vector<Order> orders;
    m_addresses.clear();
    for (const auto &[name, upstream] : declarations.upstreams()) {
        const Service *service = declarations.service(upstream.service);
        if (!service || service->kind != ServiceKind::Model) {
            continue;
        }
        m_addresses[name] = upstream.address;
        orders.push_back(Order{.upstream = name, .kind = OrderKind::LoadVersion, .argument = upstream.version.value});
    }
    m_orderBook.setOrders(orders);
}

void OrderRunner::tick(TimePoint now)
{
    m_endedCalls.clear();
    for (const OrderStep &step : m_orderBook.dueSteps(now)) {
        startCall(step);
    }
}

void OrderRunner::startCall(const OrderStep &step)
{
    const std::uint64_t number = m_nextCall++;
    Call &call = m_calls[number];
    call.step = step;
    call.call = std::make_unique<UpstreamCall>(m_loop, requestFor(step, m_addresses[step.order.upstream]), CallTimeouts);
    if (step.action == OrderStep::Action::Send) {
        logChange("control", "order-given", {{"upstream", step.order.upstream.value}, {"version", step.order.argument}});
    }
    call.call->head().connect([&call](const AnswerHead &head) { call.status = head.status; });
    call.call->data().connect([&call](std::string_view bytes) { call.body += bytes; });
    call.call->finished().connect([this, number] { onCallEnded(number, true); });
    call.call->failed().connect([this, number](CallFailure /*failure*/) { onCallEnded(number, false); });
    call.call->start();
}

void OrderRunner::onCallEnded(std::uint64_t number, bool complete)
{
    auto found = m_calls.extract(number);
    if (found.empty()) {
        return;
    }
    m_endedCalls.push_back(std::move(found.mapped()));
    const Call &call = m_endedCalls.back();
    const TimePoint now = EventLoop::now();
    const UpstreamName &upstream = call.step.order.upstream;
    const bool succeeded = complete && call.status >= 200 && call.status < 300;
    if (call.step.action == OrderStep::Action::Send) {
        if (complete && call.status == StatusConflict) {
            logWarning("control", "order-epoch-refused", {{"upstream", upstream.value}});
            m_orderBook.handleEpochRefused();
        } else if (succeeded) {
            m_orderBook.handleAccepted(upstream, now);
        } else {
            m_orderBook.handleFailure(upstream, now);
        }
        return;
    }
    const std::optional<LoadedState> state = succeeded ? parseLoadedState(call.body) : std::nullopt;
    if (state) {
        m_orderBook.handleState(upstream, *state, now);
    } else {
        m_orderBook.handleFailure(upstream, now);
    }
}

}
