#include "raft/core.h"

#include <cstdint>
#include <memory>

using namespace cumindyke;
using namespace cumindyke::raft;

/// Any parsable messages, one after the other with a length byte pair before each, to one replica of three. Peers are trusted, but an older
/// or newer version of the program must not be able to bring a replica down with a message that it can't make sense of.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    Recovered recovered;
    auto first = std::make_shared<Snapshot>();
    for (const char *voter : {"vm-1", "vm-2", "vm-3"}) {
        first->membership.add_voters(voter);
    }
    recovered.snapshot = first;
    recovered.identity = Identity{.incarnation = 1, .admitted = true};
    Core core(CoreOptions{.self = VmName{"vm-1"}}, recovered, 1, TimePoint());
    TimePoint now{};
    for (std::size_t at = 0; at + 2 <= size;) {
        const std::size_t length = std::min<std::size_t>(data[at] + 256U * data[at + 1], size - at - 2);
        v1::RaftMessage message;
        if (message.ParseFromArray(data + at + 2, static_cast<int>(length))) {
            core.step(message, now);
        }
        at += 2 + length;
        now += std::chrono::milliseconds(200);
        core.tick(now);
        core.takeEffects();
        core.onSynced(now);
    }
    return 0;
}
