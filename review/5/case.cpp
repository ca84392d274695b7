// Callers send requests whose length is ambiguous, each with another request inside its body. Checks that runners don't run the inner ones.
#include "harness.h"

using namespace review;

namespace
{

/// A deposit that is only the content of another request's body.
std::string innerRequest(int form)
{
    return requestText("POST", "/book/hall", "inner-" + std::to_string(form), "{\"deposit\":250}");
}

std::string outerRequest(const std::string &id, const std::string &lengthHeaders, const std::string &body)
{
    return "POST /book/hall HTTP/1.1\r\nHost: ficu95.example\r\nCumindyke-Request-Id: " + id
        + "\r\nCumindyke-Deadline-Ms: 3000\r\nCumindyke-Key: " + std::string(CallerKey) + "\r\n" + lengthHeaders + "\r\n" + body;
}

}

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, [](Deployment &deployment, bool hasTrouble) {
        for (int i = 0; i < 3; ++i) {
            deployment.addRunner("gbogan", "i-desk" + std::to_string(i));
        }
        if (!deployment.start() || deployment.order("PUT", "/api/config", ConfigText{}.text(), 15) != 200 || !deployment.waitUntilReady(15)) {
            return ExitNotRun;
        }
        const std::string size = std::to_string(innerRequest(0).size());
        const std::vector<std::string> ambiguous{
            "Content-Length: 0\r\nContent-Length: " + size + "\r\n",
            "Content-Length : " + size + "\r\n",
        };
        std::set<std::string> sent;
        int served = 0;
        for (int form = 0; form < static_cast<int>(ambiguous.size()); ++form) {
            const std::string id = "caller-" + std::to_string(form);
            const std::string lengthHeaders = hasTrouble ? ambiguous[static_cast<std::size_t>(form)] : "Content-Length: " + size + "\r\n";
            Channel channel;
            if (!channel.connect(deployment.edgeIp(form % 2), deployment.frontPort)) {
                return ExitNotRun;
            }
            sent.insert(id);
            record.line("sent     id=%s POST /book/hall with another request inside its body, form %d", id.c_str(), form);
            channel.send(outerRequest(id, lengthHeaders, innerRequest(form)));
            for (int answers = 0; answers < 3; ++answers) {
                const auto answer = channel.read(now() + 1.5, false);
                if (!answer) {
                    record.line("channel  %s", channel.hasEnded() ? "closed" : "kept open");
                    break;
                }
                served += answer->status() == 200 ? 1 : 0;
                record.line("answered status %d for id=%s seal=%s",
                            answer->status(),
                            answer->header("Cumindyke-Request-Id").c_str(),
                            answer->header("Cumindyke-Runner-Seal").c_str());
            }
        }
        sleepFor(1);
        int unasked = 0;
        for (const Run &run : runs.all()) {
            if (!sent.contains(run.id)) {
                ++unasked;
                record.line("check    UNASKED: %s ran id=%s, which was inside another request", run.runner.c_str(), run.id.c_str());
            }
        }
        if (!hasTrouble && served != static_cast<int>(ambiguous.size())) {
            return ExitNotRun;
        }
        return unasked > 0 ? ExitBroken : ExitHeld;
    });
}
