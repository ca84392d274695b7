#include "platform/instancelist.h"

#include <cstdint>
#include <cstdlib>

/// A page of the platform's list, to which any program may write: any bytes give a page or an error. A sound entry before them holds if the page can be
/// split, and no entry is used whose name breaks the head of a request.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cumindyke;
    const std::string text(reinterpret_cast<const char *>(data), size);
    platform::parseInstancePage(text);
    const auto entry = [](const std::string &id) {
        return R"({"id":")" + id + R"(","service":"s","address":"10.0.0.1:1","zone":"z","version":"v","slots":1,"state":"ready"})";
    };
    const auto page = platform::parseInstancePage(R"({"instances":[)" + entry("first") + "," + text + "," + entry("last") + R"(],"next":null})");
    if (ok(page)) {
        bool hasFirst = false;
        for (const UpstreamInstance &instance : valueOf(page).instances) {
            hasFirst = hasFirst || instance.name.value == "first";
            const std::string &name = instance.name.value;
            if (name.empty() || name.find_first_of("\r\n") != std::string::npos || instance.address.port == 0) {
                std::abort();
            }
        }
        if (!hasFirst) {
            std::abort();
        }
    }
    return 0;
}
