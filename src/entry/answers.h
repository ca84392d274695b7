#pragma once

#include "entry/callerrequest.h"
#include "entry/exchange.h"
#include "upstream/resumablestream.h"
#include "upstream/upstreamcall.h"

#include <concepts>
#include <memory>
#include <variant>

namespace cumindyke
{

/// Converts an upstream's answer into the caller's answer. Receives the head, then the body in pieces; finish() delivers the end.
template<typename T>
concept AnswerSink = requires(T sink, const AnswerHead &head, std::string_view bytes)
{
    sink.handleHead(head);
    sink.handleData(bytes);
    // Delivers the end of the answer to the caller. Returns false, and delivers nothing, when the answer is incomplete.
    {
        sink.finish()
        } -> std::same_as<bool>;
};

/// An AnswerSink whose answer can be resumed on another connection.
template<typename T>
concept ResumableSink = AnswerSink<T> && requires(T sink)
{
    {
        sink.stream()
        } -> std::same_as<ResumableStream &>;
};

/// Forwards a model's events to the caller as they are received. The answer is complete after the end marker.
class StreamedAnswer
{
public:
    StreamedAnswer(std::shared_ptr<Exchange> exchange, RequestId id);
    void handleHead(const AnswerHead &head);
    void handleData(std::string_view bytes);
    bool finish();
    ResumableStream &stream()
    {
        return m_stream;
    }

private:
    std::shared_ptr<Exchange> m_exchange;
    RequestId m_id;
    ResumableStream m_stream;
};

/// Collects a model's events into one JSON object. The answer is complete after the end marker.
class AssembledAnswer
{
public:
    AssembledAnswer(std::shared_ptr<Exchange> exchange, RequestId id, bool chat);
    void handleHead(const AnswerHead &head);
    void handleData(std::string_view bytes);
    bool finish();
    ResumableStream &stream()
    {
        return m_stream;
    }

private:
    void appendEvent(const StreamEvent &event);

    std::shared_ptr<Exchange> m_exchange;
    RequestId m_id;
    bool m_chat;
    ResumableStream m_stream;
    std::string m_text;
    std::string m_finishReason;
    std::string m_usage;
};

/// Buffers a plain service's answer and sends it only when it is complete, so that a truncated answer is never taken for a complete one.
class PlainAnswer
{
public:
    PlainAnswer(std::shared_ptr<Exchange> exchange, RequestId id);
    void handleHead(const AnswerHead &head);
    void handleData(std::string_view bytes);
    bool finish();

private:
    std::shared_ptr<Exchange> m_exchange;
    RequestId m_id;
    AnswerHead m_head;
    std::string m_body;
    bool m_tooLarge = false;
};

using AnySink = std::variant<StreamedAnswer, AssembledAnswer, PlainAnswer>;

/// Returns the stream of a resumable answer, or null.
ResumableStream *resumableStreamOf(AnySink &sink);

/// Creates the sink for the form of answer that the caller requested.
AnySink makeSink(const CallerRequest &request, const std::shared_ptr<Exchange> &exchange);

}
