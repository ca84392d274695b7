#include "upstream/answersignals.h"

#include "upstream/decimal.h"

#include <algorithm>
#include <string_view>
#include <strings.h>

namespace cumindyke
{

namespace
{

constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
/// A longer pause is kept for this long, and then asked for again.
constexpr Duration MaxPause = std::chrono::hours(1);
/// In place of a pause that can't be parsed.
constexpr Duration DefaultPause = std::chrono::seconds(1);
/// In place of a limit that can't be parsed: no refusal is safe.
constexpr double DefaultRefusalLimit = 0;

Duration pauseOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, std::chrono::duration<double>(MaxPause).count())));
}

bool isNamed(const std::string &key, const std::string &name)
{
    return !name.empty() && strcasecmp(key.c_str(), name.c_str()) == 0;
}

}

AnswerSignals parseAnswerSignals(const AnswerHead &head, const SignalHeaders &names)
{
    AnswerSignals signals;
    const bool isRefusal = head.status == StatusUnavailable || head.status == StatusTooManyRequests;
    for (const auto &[key, value] : head.headers) {
        const std::optional<double> number = parseDecimal(value);
        if (isRefusal && isNamed(key, names.pause)) {
            signals.pause = std::max(signals.pause.value_or(Duration::zero()), number ? pauseOf(*number) : DefaultPause);
            signals.hasInvalid = signals.hasInvalid || !number;
        } else if (isNamed(key, names.leaving)) {
            signals.isLeaving = signals.isLeaving || value != "0";
        } else if (isNamed(key, names.refusalLimit)) {
            const double limit = number.value_or(DefaultRefusalLimit);
            signals.refusalLimit = std::min(signals.refusalLimit.value_or(limit), limit);
            signals.hasInvalid = signals.hasInvalid || !number;
        }
    }
    return signals;
}

}
