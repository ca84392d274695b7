#include "upstream/eventstream.h"

#include <cstdint>
#include <cstdlib>

/// An engine's stream in pieces of any size: the events must not depend on where the pieces were cut, and each must go out as it came.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cumindyke;
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    EventStreamParser whole;
    const std::vector<StreamEvent> expected = whole.feed(body);
    EventStreamParser pieces;
    std::vector<StreamEvent> events;
    const std::size_t step = size % 7 + 1;
    for (std::size_t start = 0; start < size; start += step) {
        for (StreamEvent &event : pieces.feed(body.substr(start, step))) {
            events.push_back(std::move(event));
        }
    }
    if (events != expected) {
        std::abort();
    }
    for (const StreamEvent &event : expected) {
        EventStreamParser again;
        const std::vector<StreamEvent> back = again.feed(serialized(event));
        if (back.size() != 1 || back.front().data != event.data) {
            std::abort();
        }
    }
    return 0;
}
