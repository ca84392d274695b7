#include "common/hash.h"
#include "ctl/context.h"

#include <charconv>
#include <iostream>

namespace cumindyke
{

namespace
{

constexpr int HexadecimalBase = 16;

ExitCode showSuspects(const Context &context)
{
    const Result<v1::SuspectsReply> reply = context.makeClient().suspects();
    if (!ok(reply)) {
        return printError(errorOf(reply));
    }
    if (context.format == OutputFormat::Json) {
        printJson(valueOf(reply));
        return ExitOk;
    }
    for (const v1::Suspect &suspect : valueOf(reply).suspects()) {
        std::cout << toString(RequestFingerprint{suspect.fingerprint()}) << (suspect.is_part() ? " part" : " request") << " crashes " << suspect.crashes()
                  << " last_crash_at_ms " << suspect.last_crash_at_ms();
        if (suspect.is_part()) {
            std::cout << " weight " << suspect.weight();
        }
        if (suspect.refused_until_ms() > 0) {
            std::cout << " refused_until_ms " << suspect.refused_until_ms();
        }
        for (const std::uint64_t trait : suspect.with()) {
            std::cout << " with " << toString(RequestTrait{trait});
        }
        std::cout << "\n";
    }
    return ExitOk;
}

}

ExitCode suspectsCommand(const Context &context)
{
    if (context.arguments.empty()) {
        return showSuspects(context);
    }
    std::uint64_t fingerprint = 0;
    const std::string text = context.arguments.size() == 2 && context.arguments[0] == "clear" ? context.arguments[1] : "";
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), fingerprint, HexadecimalBase);
    if (text.empty() || errorCode != std::errc() || end != text.data() + text.size()) {
        std::cerr << "cumindykectl: usage: cumindykectl suspects [clear FINGERPRINT], with the fingerprint as the list shows it\n";
        return ExitUsage;
    }
    v1::ClearSuspectRequest request;
    request.set_command_id(context.commandId());
    request.set_fingerprint(fingerprint);
    const Result<v1::CommandReply> reply = context.makeClient().clearSuspect(request);
    return ok(reply) ? printReply(valueOf(reply), context.format) : printError(errorOf(reply));
}

}
