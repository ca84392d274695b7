#include "control/convert.h"

#include "peer.pb.h"

#include <cstdint>
#include <cstdlib>

/// What another VM or an operator's tool sends: any bytes that are a message give declarations or an error, and declarations that were
/// taken come back as they went.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cumindyke;
    v1::Declarations wire;
    if (!wire.ParseFromArray(data, static_cast<int>(size))) {
        return 0;
    }
    const Result<Declarations> declarations = fromWire(wire);
    if (!ok(declarations)) {
        return 0;
    }
    const Result<Declarations> again = fromWire(toWire(valueOf(declarations)));
    if (!ok(again) || !valueOf(again).changesTo(valueOf(declarations)).empty()) {
        std::abort();
    }
    return 0;
}
