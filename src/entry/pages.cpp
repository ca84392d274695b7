#include "entry/pages.h"

#include "common/metrics.h"

#include <nlohmann/json.hpp>

namespace cumindyke
{

namespace
{

using nlohmann::ordered_json;

void answerReadiness(Exchange &exchange, const Admission &admission, TimePoint now)
{
    const std::optional<Error> refusal = admission.notReadyError(now);
    exchange.reply(refusal ? 503 : 200, "text/plain", refusal ? refusal->message + "\n" : "ready\n");
}

void answerModels(Exchange &exchange, const Declarations &declarations)
{
    const auto organisation = authenticate(exchange, declarations);
    if (!ok(organisation)) {
        exchange.replyError(errorOf(organisation), RunOutcome::NotRun);
        return;
    }
    ordered_json models = ordered_json::array();
    for (const auto &[name, service] : declarations.services()) {
        if (service.kind == ServiceKind::Model) {
            models.push_back({{"id", name.value}, {"object", "model"}, {"version", service.version.value}});
        }
    }
    exchange.reply(200, "application/json", ordered_json{{"object", "list"}, {"data", models}}.dump() + "\n");
}

}

bool handlePage(Exchange &exchange, const Admission &admission, const Metrics &metrics, TimePoint now)
{
    const std::string &path = exchange.path();
    if (path == "/healthz") {
        exchange.reply(200, "text/plain", "alive\n");
    } else if (path == "/readyz") {
        answerReadiness(exchange, admission, now);
    } else if (path == "/metrics") {
        exchange.reply(200, "text/plain; version=0.0.4", metrics.text());
    } else if (path == "/v1/models") {
        answerModels(exchange, *admission.configuration().declarations);
    } else {
        return false;
    }
    return true;
}

}
