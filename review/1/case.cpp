// Two of eight runners crash, so that a machine takes its path to the runners for lost and sends requests through another machine. Meanwhile runners break off
// a few answers that have no length, with a reset. Checks that no broken answer looks complete.
#include "harness.h"

using namespace review;

namespace
{

/// srv_crash: share 0.25, for_s 2.
constexpr int Runners = 8;
constexpr double CrashS = 2;
constexpr double PauseAfterCrashS = 3;
constexpr int Rounds = 15;
/// Callers of one machine, each of whom sends a request at the same moment.
constexpr int Callers = 16;
constexpr double PauseS = 0.12;
/// garble (unframed): x 0.05 of the answers of half of the runners, while the others are down.
constexpr int BrokenEvery = 20;

}

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, [](Deployment &deployment, bool hasTrouble) {
        deployment.edgeCount = 4;
        for (int i = 0; i < Runners; ++i) {
            deployment.addRunner("gbogan", "i-desk" + std::to_string(i), 45, 6);
        }
        // The crashing runners are those in the zone of the machine that callers use.
        std::vector<Runner *> crashing;
        std::vector<Runner *> breaking;
        for (Runner &runner : deployment.runners) {
            (runner.zone == deployment.zone(0) ? crashing : breaking).push_back(&runner);
        }
        breaking.resize(Runners / 2);
        if (!deployment.start() || deployment.order("PUT", "/api/config", ConfigText{}.text(), 15) != 200 || !deployment.waitUntilReady(15)) {
            return ExitNotRun;
        }
        std::atomic<bool> stopping = false;
        std::atomic<int> next = 0;
        std::atomic<int> whole = 0;
        std::atomic<int> mixed = 0;
        std::atomic<int> failed = 0;
        std::vector<std::thread> callers;
        for (int caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([&] {
                for (double at = 3; !stopping; at += PauseS) {
                    sleepFor(std::max(0.0, at - now()));
                    const std::string id = "look-" + std::to_string(next++);
                    Channel channel;
                    if (!channel.connect(deployment.edgeIp(0), deployment.frontPort)) {
                        continue;
                    }
                    channel.send(requestText("GET", "/look/slots", id, ""));
                    const auto answer = channel.read(now() + 4, false);
                    const int status = answer ? answer->status() : 0;
                    if (status != 200) {
                        ++failed;
                        record.line("answered id=%s status %d", id.c_str(), status);
                    } else if (answer->body.ends_with(" to " + id)) {
                        ++whole;
                    } else {
                        ++mixed;
                        record.line("check    MIXED: id=%s got status 200, seal=%s and \"%s\", which isn't the runner's whole body",
                                    id.c_str(),
                                    answer->header("Cumindyke-Runner-Seal").c_str(),
                                    answer->body.c_str());
                    }
                }
            });
        }
        sleepFor(4);
        if (hasTrouble) {
            for (int round = 0; round < Rounds; ++round) {
                for (Runner *runner : breaking) {
                    runner->breakEvery = BrokenEvery;
                }
                for (Runner *runner : crashing) {
                    runner->crash();
                    record.line("runner   %s crashes", runner->id.c_str());
                }
                sleepFor(CrashS);
                for (Runner *runner : crashing) {
                    runner->restart();
                    record.line("runner   %s is back", runner->id.c_str());
                }
                for (Runner *runner : breaking) {
                    runner->breakEvery = 0;
                }
                sleepFor(PauseAfterCrashS);
            }
        } else {
            sleepFor(Rounds * (CrashS + PauseAfterCrashS));
        }
        stopping = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        int broken = 0;
        for (const Run &run : runs.all()) {
            broken += run.end == "broken off" ? 1 : 0;
        }
        record.line("check    %d answers whole, %d failed, %d MIXED; runners broke off %d", whole.load(), failed.load(), mixed.load(), broken);
        if (whole < 100) {
            return ExitNotRun;
        }
        return mixed > 0 ? ExitBroken : ExitHeld;
    });
}
