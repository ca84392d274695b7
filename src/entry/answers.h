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

/// How an upstream's answer becomes the caller's: fed piece by piece, then either delivered as whole or left undelivered.
template<typename T>
concept AnswerSink = requires(T sink, const AnswerHead &head, std::string_view bytes)
{
    sink.head(head);
    sink.data(bytes);
    // Delivers the end to the caller if the answer is whole; false when it is not.
    {
        sink.finish()
        } -> std::same_as<bool>;
};

/// An answer that can be continued on another connection.
template<typename T>
concept ResumableSink = AnswerSink<T> && requires(T sink)
{
    {
        sink.stream()
        } -> std::same_as<ResumableStream &>;
};

/// Passes a model's events on as they come. Whole when the end marker came.
class StreamedAnswer
{
public:
    StreamedAnswer(std::shared_ptr<Exchange> exchange, RequestId id);
    void head(const AnswerHead &head);
    void data(std::string_view bytes);
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

/// Collects a model's events into one JSON object. Whole when the end marker came.
class AssembledAnswer
{
public:
    AssembledAnswer(std::shared_ptr<Exchange> exchange, RequestId id, bool chat);
    void head(const AnswerHead &head);
    void data(std::string_view bytes);
    bool finish();
    ResumableStream &stream()
    {
        return m_stream;
    }

private:
    void take(const StreamEvent &event);

    std::shared_ptr<Exchange> m_exchange;
    RequestId m_id;
    bool m_chat;
    ResumableStream m_stream;
    std::string m_text;
    std::string m_finishReason;
    std::string m_usage;
};

/// Collects a plain service's answer and passes it on when it is complete, so that a cut answer never looks whole.
class PlainAnswer
{
public:
    PlainAnswer(std::shared_ptr<Exchange> exchange, RequestId id);
    void head(const AnswerHead &head);
    void data(std::string_view bytes);
    bool finish();

private:
    std::shared_ptr<Exchange> m_exchange;
    RequestId m_id;
    AnswerHead m_head;
    std::string m_body;
    bool m_tooLarge = false;
};

using Answering = std::variant<StreamedAnswer, AssembledAnswer, PlainAnswer>;

/// The stream behind a resumable answer, or null.
ResumableStream *streamOf(Answering &answering);

Answering makeAnswering(const CallerRequest &request, const std::shared_ptr<Exchange> &exchange);

}
