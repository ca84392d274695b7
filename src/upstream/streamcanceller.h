#pragma once

#include "upstream/upstreamcall.h"

#include <cstdint>
#include <map>
#include <memory>

namespace cumindyke
{

/// Tells upstreams to stop work that nobody waits for any more (DELETE /v1/streams/ID). Best effort: an order that is lost costs the
/// upstream's work on that stream and nothing else. Used by one task, in its loop.
class StreamCanceller
{
public:
    explicit StreamCanceller(EventLoop &loop);

    void cancel(const Address &upstream, const RequestId &id);

private:
    EventLoop &m_loop;
    std::map<std::uint64_t, std::unique_ptr<UpstreamCall>> m_calls;
    std::uint64_t m_count = 0;
};

}
