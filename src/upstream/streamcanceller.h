#pragma once

#include "upstream/upstreamcall.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace cumindyke
{

/// Cancels streams at upstreams whose answers are no longer needed (DELETE /v1/streams/ID). Best effort: a lost call only costs the
/// upstream's work on that stream. Used by one task, in its event loop.
class StreamCanceller
{
public:
    explicit StreamCanceller(EventLoop &loop);

    /// "relay": a VM that opens the connection instead, see UpstreamRequest.
    void cancel(const Address &upstream, const RequestId &id, const std::optional<Address> &relay);

private:
    EventLoop &m_loop;
    std::map<std::uint64_t, std::unique_ptr<UpstreamCall>> m_calls;
    std::uint64_t m_lastCallNumber = 0;
};

}
