#include "entry/callerrequest.h"

#include "common/hash.h"
#include "common/jsondepth.h"
#include "entry/headers.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace cumindyke
{

namespace
{

using nlohmann::json;

constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
/// For estimating the length of a prompt in tokens.
constexpr std::uint32_t BytesPerToken = 4;
constexpr std::uint32_t DefaultAnswerTokens = 256;
constexpr std::uint32_t MaxAnswerTokens = 131'072;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;
/// Leading bytes of the prompt that CallerRequest::prefix is computed from.
constexpr std::size_t PrefixHashBytes = 256;
constexpr std::size_t MaxIdempotencyKeyBytes = 200;

Error badRequest(std::string message)
{
    return Error{ErrorKind::BadRequest, std::move(message)};
}

/// Parses the headers common to all requests: tier, deadline and idempotency key.
std::optional<Error> parseHeaders(const Exchange &exchange, const Declarations &declarations, const Organisation &organisation, CallerRequest &request)
{
    const std::string tierName = exchange.header(headers::Tier);
    request.tier = tierName.empty() ? organisation.highestTier : TierName{tierName};
    const Tier *tier = declarations.tier(request.tier);
    if (!tier) {
        return badRequest("tier '" + tierName + "' is not declared: use one of the declared tiers, or leave the header out");
    }
    request.rank = tier->rank;
    const Tier *highest = declarations.tier(organisation.highestTier);
    if (highest && tier->rank < highest->rank) {
        return Error{ErrorKind::Forbidden,
                     "organisation '" + organisation.name.value + "' may not use tier '" + tierName + "': its highest tier is '"
                         + organisation.highestTier.value + "'"};
    }
    const std::string deadline = exchange.header(headers::DeadlineMs);
    if (!deadline.empty()) {
        std::int64_t milliseconds = 0;
        const auto [end, failure] = std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds);
        if (failure != std::errc{} || end != deadline.data() + deadline.size() || milliseconds < 1 || milliseconds > MaxDeadlineMs) {
            return badRequest("the deadline must be 1 to 3600000 milliseconds from now: correct the header " + std::string(headers::DeadlineMs));
        }
        request.deadline = request.arrival + std::chrono::milliseconds(milliseconds);
    }
    request.idempotencyKey = exchange.header(headers::IdempotencyKey);
    if (request.idempotencyKey.size() > MaxIdempotencyKeyBytes) {
        return badRequest("the Idempotency-Key is longer than 200 bytes: use a shorter one");
    }
    return {};
}

/// Returns the text of the prompt, from which its length and prefix are computed.
Result<std::string> extractPrompt(const json &body, bool chat)
{
    if (!chat) {
        if (!body.contains("prompt") || !body["prompt"].is_string()) {
            return badRequest("'prompt' is missing or not a string: send a JSON object with a string 'prompt'");
        }
        return body["prompt"].get<std::string>();
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return badRequest("'messages' is missing or empty: send a JSON array of objects with 'role' and 'content'");
    }
    std::string prompt;
    for (const json &message : body["messages"]) {
        if (!message.is_object() || !message.contains("content") || !message["content"].is_string()) {
            return badRequest("a message has no string 'content': give each message a 'role' and a 'content'");
        }
        prompt += message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

std::optional<Error> parseModelBody(const Exchange &exchange, bool chat, CallerRequest &request)
{
    if (exceedsMaxDepth(exchange.body())) {
        return badRequest("the body is nested more than 64 levels deep: reduce the nesting");
    }
    json body = json::parse(exchange.body(), nullptr, false);
    if (!body.is_object()) {
        return badRequest("the body is not a JSON object: send one with 'model' and 'prompt' or 'messages'");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return badRequest("'model' is missing: set it to the name of a service");
    }
    request.service = ServiceName{body["model"].get<std::string>()};
    const Result<std::string> prompt = extractPrompt(body, chat);
    if (!ok(prompt)) {
        return errorOf(prompt);
    }
    request.promptTokens = TokenCount{static_cast<std::uint32_t>(valueOf(prompt).size()) / BytesPerToken + 1};
    request.prefix = checksum(std::string_view(valueOf(prompt)).substr(0, PrefixHashBytes));
    request.maxAnswerTokens = TokenCount{DefaultAnswerTokens};
    if (body.contains("max_tokens")) {
        if (!body["max_tokens"].is_number_unsigned() || body["max_tokens"] < 1 || body["max_tokens"] > MaxAnswerTokens) {
            return badRequest("'max_tokens' must be a whole number from 1 to 131072");
        }
        request.maxAnswerTokens = TokenCount{body["max_tokens"].get<std::uint32_t>()};
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return badRequest("'stream' must be true or false");
    }
    request.form = body.value("stream", false) ? AnswerForm::Streamed : AnswerForm::Assembled;
    request.route = chat ? "chat" : "completions";
    request.method = "POST";
    request.target = exchange.path();
    request.contentType = "application/json";
    // Upstreams always stream, so that progress can be monitored and a lost connection resumed.
    body["stream"] = true;
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return {};
}

std::optional<Error> parsePlainCall(const Exchange &exchange, CallerRequest &request)
{
    const std::string_view rest = std::string_view(exchange.target()).substr(ServicesPrefix.size());
    const std::size_t end = rest.find_first_of("/?");
    request.service = ServiceName{std::string(rest.substr(0, end))};
    request.target = end == std::string_view::npos ? "/" : std::string(rest.substr(end));
    if (!request.target.starts_with('/')) {
        request.target.insert(0, "/");
    }
    const std::size_t segmentEnd = request.target.find_first_of("/?", 1);
    request.route = request.target.substr(1, segmentEnd == std::string::npos ? segmentEnd : segmentEnd - 1);
    request.form = AnswerForm::Plain;
    request.method = exchange.method();
    request.contentType = exchange.header("Content-Type");
    request.body = exchange.body();
    request.promptTokens = TokenCount{1};
    request.maxAnswerTokens = TokenCount{1};
    return {};
}

std::optional<Error> checkService(const Declarations &declarations, CallerRequest &request)
{
    const Service *service = declarations.service(request.service);
    const ServiceKind wanted = request.form == AnswerForm::Plain ? ServiceKind::Plain : ServiceKind::Model;
    if (!service || service->kind != wanted) {
        return Error{ErrorKind::NotFound, "service '" + request.service.value + "' is not declared for this kind of call: see /v1/models for model services"};
    }
    if (request.deadline == TimePoint{}) {
        request.deadline = request.arrival + service->defaultDeadline;
    }
    const bool plain = request.form == AnswerForm::Plain;
    if (plain && request.idempotencyKey.empty() && service->mustNotRepeat(request.method, request.target)) {
        return badRequest("this call must not be repeated, so it needs an Idempotency-Key header: send one that you use for this call only");
    }
    return {};
}

}

Result<const Organisation *> authenticate(const Exchange &exchange, const Declarations &declarations)
{
    const std::string authorization = exchange.header(headers::Authorization);
    const bool bearer = authorization.starts_with(BearerPrefix);
    const Organisation *organisation = bearer ? declarations.organisationByKey(hashKey(std::string_view(authorization).substr(BearerPrefix.size()))) : nullptr;
    if (!organisation) {
        return Error{ErrorKind::Unauthorised, "no organisation has this API key: send 'Authorization: Bearer KEY' with a key that an operator declared"};
    }
    return organisation;
}

Result<CallerRequest> parseCallerRequest(const Exchange &exchange, const Declarations &declarations, RequestId id, TimePoint now)
{
    const Result<const Organisation *> organisation = authenticate(exchange, declarations);
    if (!ok(organisation)) {
        return errorOf(organisation);
    }
    CallerRequest request{.id = std::move(id), .organisation = valueOf(organisation)->name, .arrival = now};
    if (const auto error = parseHeaders(exchange, declarations, *valueOf(organisation), request)) {
        return *error;
    }
    const bool chat = exchange.path() == "/v1/chat/completions";
    std::optional<Error> error;
    if (exchange.path().starts_with(ServicesPrefix)) {
        error = parsePlainCall(exchange, request);
    } else if (exchange.method() != "POST") {
        error = badRequest("use POST for completions");
    } else {
        error = parseModelBody(exchange, chat, request);
    }
    if (!error) {
        error = checkService(declarations, request);
    }
    if (error) {
        return *error;
    }
    return request;
}

}
