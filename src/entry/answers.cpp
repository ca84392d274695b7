#include "entry/answers.h"

#include "common/jsondepth.h"
#include "entry/headers.h"

#include <nlohmann/json.hpp>

namespace cumindyke
{

static_assert(ResumableSink<StreamedAnswer> && ResumableSink<AssembledAnswer> && AnswerSink<PlainAnswer>);

namespace
{

using nlohmann::json;

constexpr std::string_view EndMarker = "[DONE]";
constexpr std::size_t MaxPlainAnswerBytes = 16U << 20;

void addAnswerHeaders(Exchange &exchange, const RequestId &id)
{
    exchange.addHeader(headers::RequestId, id.value);
    exchange.addHeader(headers::Outcome, toString(RunOutcome::Ran));
}

}

StreamedAnswer::StreamedAnswer(std::shared_ptr<Exchange> exchange, RequestId id)
    : m_exchange(std::move(exchange))
    , m_id(std::move(id))
{
}

void StreamedAnswer::handleHead(const AnswerHead & /*head*/)
{
    addAnswerHeaders(*m_exchange, m_id);
    m_exchange->startStream(200, "text/event-stream");
}

void StreamedAnswer::handleData(std::string_view bytes)
{
    for (const StreamEvent &event : m_stream.feed(bytes)) {
        if (event.data != EndMarker) {
            m_exchange->streamData(serialized(event));
        }
    }
}

bool StreamedAnswer::finish()
{
    if (!m_stream.isComplete()) {
        return false;
    }
    m_exchange->streamData(serialized(StreamEvent{.id = {}, .name = {}, .data = std::string(EndMarker)}));
    m_exchange->endStream();
    return true;
}

AssembledAnswer::AssembledAnswer(std::shared_ptr<Exchange> exchange, RequestId id, bool chat)
    : m_exchange(std::move(exchange))
    , m_id(std::move(id))
    , m_chat(chat)
{
}

void AssembledAnswer::handleHead(const AnswerHead & /*head*/)
{
}

void AssembledAnswer::handleData(std::string_view bytes)
{
    for (const StreamEvent &event : m_stream.feed(bytes)) {
        appendEvent(event);
    }
}

void AssembledAnswer::appendEvent(const StreamEvent &event)
{
    if (exceedsMaxDepth(event.data)) {
        return;
    }
    const json body = json::parse(event.data, nullptr, false);
    if (!body.is_object()) {
        return;
    }
    if (body.contains("usage") && body["usage"].is_object()) {
        m_usage = body["usage"].dump();
    }
    if (!body.contains("choices") || !body["choices"].is_array() || body["choices"].empty()) {
        return;
    }
    const json &choice = body["choices"][0];
    if (!choice.is_object()) {
        return;
    }
    const json delta = choice.value("delta", json::object());
    const json &textContainer = m_chat ? delta : choice;
    const char *textKey = m_chat ? "content" : "text";
    if (textContainer.is_object() && textContainer.contains(textKey) && textContainer[textKey].is_string()) {
        m_text += textContainer[textKey].get<std::string>();
    }
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        m_finishReason = choice["finish_reason"].get<std::string>();
    }
}

bool AssembledAnswer::finish()
{
    if (!m_stream.isComplete()) {
        return false;
    }
    nlohmann::ordered_json choice{{"index", 0}};
    if (m_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    } else {
        choice["text"] = m_text;
    }
    choice["finish_reason"] = m_finishReason;
    nlohmann::ordered_json body{{"id", m_id.value}, {"object", m_chat ? "chat.completion" : "text_completion"}, {"choices", {choice}}};
    if (!m_usage.empty()) {
        body["usage"] = nlohmann::ordered_json::parse(m_usage);
    }
    addAnswerHeaders(*m_exchange, m_id);
    m_exchange->reply(200, "application/json", body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
    return true;
}

PlainAnswer::PlainAnswer(std::shared_ptr<Exchange> exchange, RequestId id)
    : m_exchange(std::move(exchange))
    , m_id(std::move(id))
{
}

void PlainAnswer::handleHead(const AnswerHead &head)
{
    m_head = head;
}

void PlainAnswer::handleData(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > MaxPlainAnswerBytes) {
        m_tooLarge = true;
        return;
    }
    m_body += bytes;
}

bool PlainAnswer::finish()
{
    if (m_tooLarge) {
        return false;
    }
    addAnswerHeaders(*m_exchange, m_id);
    m_exchange->reply(m_head.status, m_head.contentType.empty() ? "application/octet-stream" : m_head.contentType, m_body);
    return true;
}

ResumableStream *resumableStreamOf(AnySink &sink)
{
    return std::visit(
        [](auto &sink) -> ResumableStream * {
            if constexpr (ResumableSink<std::remove_reference_t<decltype(sink)>>) {
                return &sink.stream();
            } else {
                return nullptr;
            }
        },
        sink);
}

AnySink makeSink(const CallerRequest &request, const std::shared_ptr<Exchange> &exchange)
{
    switch (request.form) {
    case AnswerForm::Streamed:
        return StreamedAnswer(exchange, request.id);
    case AnswerForm::Assembled:
        return AssembledAnswer(exchange, request.id, request.route == "chat");
    case AnswerForm::Plain:
        break;
    }
    return PlainAnswer(exchange, request.id);
}

}
