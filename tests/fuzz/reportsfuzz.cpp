#include "cell/loadpoller.h"
#include "common/address.h"
#include "domain/declarations.h"

#include <cstdint>

/// What engines report, and what operators write: any bytes give a value or an error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cumindyke;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    parseLoadReport(text);
    parsePrefixEvents(text);
    parseAddress(text);
    const auto changes = parseDeclarations(text, "fuzz.toml");
    if (ok(changes)) {
        Declarations().apply(valueOf(changes));
    }
    return 0;
}
