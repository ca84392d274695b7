#include "support/testdeployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr const char *Prompt = "Programme for the Egbe Ijo festival";

}

// The engine's connection ends after every three tokens. Each time the daemon resumes the stream by request id and offset on a new
// connection.
TEST_CASE("a stream whose connection is cut repeatedly arrives complete and runs once")
{
    TestDeployment deployment;
    deployment.drafting().setFaults(R"({"cut_after":3})");
    const HttpAnswer answer = deployment.draft(Prompt, 10);
    CHECK(answer.status == 200);
    const StreamedText text = streamedText(answer.body);
    CHECK(text.whole);
    CHECK(text.text == expectedText(Prompt, 10));
    CHECK(countEvents(deployment.drafting().log(), "run") == 1);
    CHECK(countEvents(deployment.drafting().log(), "resume") >= 3);
}

// The connection delivers nothing after four tokens while the engine works on. The progress timeout closes it and a new connection resumes
// the stream; without the timeout the caller would wait for ever.
TEST_CASE("a stream whose connection stalls arrives complete and runs once")
{
    TestDeployment deployment;
    deployment.drafting().setFaults(R"({"silent_after":4})");
    const StreamedText text = streamedText(deployment.draft(Prompt, 6).body);
    CHECK(text.whole);
    CHECK(text.text == expectedText(Prompt, 6));
    CHECK(countEvents(deployment.drafting().log(), "run") == 1);
}

// The upstream answers with the id of another request. The daemon drops that answer unread, counts it and fetches the right one by id:
// forwarding it would disclose one caller's data to another.
TEST_CASE("crossed answers are dropped and each caller gets its own answer")
{
    TestDeployment deployment;
    deployment.drafting().setFaults(R"({"crossed":true})");
    std::vector<std::future<HttpAnswer>> answers;
    for (int i = 0; i < 8; ++i) {
        answers.push_back(std::async(std::launch::async, [&deployment, i] { return deployment.draft("guest list " + std::to_string(i), 5); }));
    }
    for (int i = 0; i < 8; ++i) {
        const StreamedText text = streamedText(answers[static_cast<std::size_t>(i)].get().body);
        CHECK(text.whole);
        CHECK(text.text == expectedText("guest list " + std::to_string(i), 5));
    }
    CHECK(countEvents(deployment.drafting().log(), "run") == 8);
    CHECK(deployment.metrics().find("cumindyke_wrong_answers_total 8") != std::string::npos);
}

// The engine is killed between two tokens. The caller receives the beginning and then an error event with the outcome "ran", never an end
// marker. Resumes are refused, and the request is not sent to the other engine, because it has run in part.
TEST_CASE("a stream whose engine is killed ends with a typed error and does not run again")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2, .upstreamArguments = {"--step-ms", "50"}});
    std::future<HttpAnswer> answer = std::async(std::launch::async, [&deployment] { return deployment.draft(Prompt, 200); });
    const auto running = [&deployment](std::size_t index) { return countEvents(deployment.drafting(index).log(), "run") == 1; };
    REQUIRE(eventually([&running] { return running(0) || running(1); }));
    const std::size_t killed = running(0) ? 0 : 1;
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    deployment.drafting(killed).process().signal(SIGKILL);
    const StreamedText text = streamedText(answer.get().body);
    CHECK_FALSE(text.whole);
    CHECK_FALSE(text.text.empty());
    CHECK(expectedText(Prompt, 200).starts_with(text.text));
    CHECK(text.error.find(R"("kind":"upstream-failed")") != std::string::npos);
    CHECK(text.error.find(R"("outcome":"ran")") != std::string::npos);
    CHECK(countEvents(deployment.drafting(1 - killed).log(), "run") == 0);
}

// The caller closes its connection after the first token, and the engine's log shows the cancellation long before the last of the ten
// thousand tokens.
TEST_CASE("the stream of a caller that disconnects is cancelled at the engine")
{
    TestDeployment deployment;
    EventLoop loop;
    // Ten thousand tokens take longer than the service's default deadline, so the request brings its own.
    HeaderList headers = ApiKeyHeaders;
    headers.emplace_back("X-Cumindyke-Deadline-Ms", "3600000");
    auto call = std::make_unique<UpstreamCall>(loop,
                                               UpstreamRequest{
                                                   .id = {},
                                                   .address = deployment.daemon().http(),
                                                   .method = "POST",
                                                   .target = "/v1/completions",
                                                   .headers = headers,
                                                   .body = draftBody(Prompt, 10'000),
                                               },
                                               ProgressTimeouts{});
    call->data().connect([&call, &loop](std::string_view) {
        call.reset();
        loop.stop();
    });
    call->start();
    loop.run();
    // The event loop frees the connection after the callback.
    Timer runOnce(loop, [&loop] { loop.stop(); });
    runOnce.startOnce(std::chrono::milliseconds(1));
    loop.run();
    CHECK(eventually([&deployment] { return countEvents(deployment.drafting().log(), "cancel") == 1; }));
    CHECK(deployment.metrics().find("cumindyke_stream_cancels_total 1") != std::string::npos);
}

// The refusal states that the request did not run, which permits another attempt elsewhere.
TEST_CASE("a request that an upstream refused without running it goes to another upstream")
{
    TestDeployment deployment(TestDeploymentOptions{.draftingUpstreams = 2});
    deployment.drafting(0).setFaults(R"({"refuse":true})");
    for (int i = 0; i < 6; ++i) {
        const StreamedText text = streamedText(deployment.draft(Prompt, 3).body);
        CHECK(text.whole);
        CHECK(text.text == expectedText(Prompt, 3));
    }
    CHECK(countEvents(deployment.drafting(0).log(), "run") == 0);
    CHECK(countEvents(deployment.drafting(1).log(), "run") == 6);
}
