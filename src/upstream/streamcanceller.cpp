#include "upstream/streamcanceller.h"

namespace cumindyke
{

namespace
{

/// Bounds the connections in use when many callers disconnect at once; further cancellations are skipped.
constexpr std::size_t MaxCalls = 256;
constexpr std::size_t MaxAnswerBytes = 64U << 10;
constexpr ProgressTimeouts CancelTimeouts{.connect = std::chrono::seconds(1), .firstByte = std::chrono::seconds(1), .betweenBytes = std::chrono::seconds(1)};

}

StreamCanceller::StreamCanceller(EventLoop &loop)
    : m_loop(loop)
{
}

void StreamCanceller::cancel(const Address &upstream, const RequestId &id, const std::optional<Address> &relay)
{
    if (m_calls.size() >= MaxCalls) {
        return;
    }
    const std::uint64_t number = ++m_lastCallNumber;
    auto call = std::make_unique<UpstreamCall>(m_loop,
                                               UpstreamRequest{
                                                   .id = id,
                                                   .address = upstream,
                                                   .method = "DELETE",
                                                   .target = "/v1/streams/" + id.value,
                                                   .headers = {},
                                                   .body = {},
                                                   .relay = relay,
                                                   .maxAnswerBytes = MaxAnswerBytes,
                                               },
                                               CancelTimeouts);
    call->finished().connect([this, number] { m_calls.erase(number); });
    call->failed().connect([this, number](CallFailure) { m_calls.erase(number); });
    UpstreamCall &inserted = *m_calls.emplace(number, std::move(call)).first->second;
    inserted.start();
}

}
