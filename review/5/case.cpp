// Some callers leave while their requests run, and have not read all that the machine has sent, so that their systems reset the channels. Checks that the
// machine notices that they have left.
#include "harness.h"

using namespace review;

namespace
{

constexpr int Callers = 16;
/// give_up: share 0.3, x 300 ms.
constexpr int Leaving = 4;
constexpr double LeaveAfterS = 0.3;
constexpr int Rounds = 5;
/// The work of a slot-check is 450 ms at most; srv_slow: x 4.
constexpr int WorkMs = 1700;

double cpuSeconds(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    std::istringstream words(text.substr(text.rfind(')') + 2));
    std::string word;
    double ticks = 0;
    for (int field = 3; field <= 15 && (words >> word); ++field) {
        ticks += field >= 14 ? std::atof(word.c_str()) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, [](Deployment &deployment, bool hasTrouble) {
        for (int i = 0; i < 3; ++i) {
            deployment.addRunner("gbogan", "i-desk" + std::to_string(i), WorkMs);
        }
        if (!deployment.start() || deployment.order("PUT", "/api/config", ConfigText{}.text(), 15) != 200 || !deployment.waitUntilReady(15)) {
            return ExitNotRun;
        }
        const pid_t process = deployment.processOf(deployment.edgeIp(0));
        const double cpuBefore = cpuSeconds(process);
        std::map<std::string, double> leftAt;
        for (int round = 0; round < Rounds; ++round) {
            std::vector<std::unique_ptr<Channel>> channels;
            std::vector<std::string> ids;
            for (int caller = 0; caller < Callers; ++caller) {
                const std::string id = "look-" + std::to_string(round) + "-" + std::to_string(caller);
                ids.push_back(id);
                auto &channel = channels.emplace_back(std::make_unique<Channel>());
                if (!channel->connect(deployment.edgeIp(0), deployment.frontPort)) {
                    return ExitNotRun;
                }
                // Those that leave don't read the interim answer.
                const bool waits = hasTrouble && caller < Leaving;
                const std::string body = "{\"slots\":[3,4]}";
                const std::string text = requestText("POST", "/look/slots", id, body, waits ? "Expect: 100-continue\r\n" : "");
                channel->send(waits ? text.substr(0, text.size() - body.size()) : text);
            }
            if (hasTrouble) {
                sleepFor(0.05);
                for (int caller = 0; caller < Leaving; ++caller) {
                    channels[static_cast<std::size_t>(caller)]->send("{\"slots\":[3,4]}");
                }
            }
            sleepFor(LeaveAfterS);
            for (int caller = 0; caller < Leaving; ++caller) {
                channels[static_cast<std::size_t>(caller)]->close();
                leftAt[ids[static_cast<std::size_t>(caller)]] = now();
                record.line("left     the caller of id=%s has closed its channel", ids[static_cast<std::size_t>(caller)].c_str());
            }
            for (int caller = Leaving; caller < Callers; ++caller) {
                const auto answer = channels[static_cast<std::size_t>(caller)]->read(now() + 4, false);
                record.line("answered id=%s status %d", ids[static_cast<std::size_t>(caller)].c_str(), answer ? answer->status() : 0);
            }
            sleepFor(2.5);
        }
        int left = 0;
        int atWork = 0;
        for (const Run &run : runs.all()) {
            const auto caller = leftAt.find(run.id);
            if (caller == leftAt.end() || run.at > caller->second) {
                continue;
            }
            ++left;
            // A run that was not dropped went on to its end, over half a second after its caller had left.
            const bool wasAtWork = run.end == "served" && run.at + WorkMs / 1000.0 > caller->second + 0.5;
            atWork += wasAtWork ? 1 : 0;
            if (wasAtWork) {
                record.line("check    GONE: %s worked on id=%s to its end, %.1f s after its caller had left",
                            run.runner.c_str(),
                            run.id.c_str(),
                            run.at + WorkMs / 1000.0 - caller->second);
            }
        }
        record.line(
            "check    runners were at work half a second later on %d of %d requests whose callers had left; processor time of the machine's process %.2f s",
            atWork,
            left,
            cpuSeconds(process) - cpuBefore);
        if (left < Leaving) {
            return ExitNotRun;
        }
        return atWork * 4 > left ? ExitBroken : ExitHeld;
    });
}
