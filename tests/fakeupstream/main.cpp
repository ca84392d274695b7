#include "fakeupstream.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

using namespace cumindyke;

int main(int argc, char **argv)
{
    cxxopts::Options options("fakeupstream", "Simulates a model engine or a plain service.");
    options.add_options()("host", "address", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "port; 0 lets the kernel choose", cxxopts::value<std::uint16_t>()->default_value("0"))(
        "name", "name in answers and logs", cxxopts::value<std::string>()->default_value("fake"))(
        "version", "version it runs", cxxopts::value<std::string>()->default_value("v1"))(
        "log", "file for runs", cxxopts::value<std::string>()->default_value(""))(
        "step-ms", "length of an idle engine's step", cxxopts::value<int>()->default_value("12"))(
        "crash-on", "exit after a prompt with this text", cxxopts::value<std::string>()->default_value(""))(
        "max-batch", "sequences at once", cxxopts::value<std::uint32_t>()->default_value("32"))("help", "print this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << options.help();
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
        FakeUpstreamOptions upstreamOptions{
            .name = parsed["name"].as<std::string>(),
            .version = parsed["version"].as<std::string>(),
            .host = parsed["host"].as<std::string>(),
            .port = parsed["port"].as<std::uint16_t>(),
            .logFile = parsed["log"].as<std::string>(),
            .crashOn = parsed["crash-on"].as<std::string>(),
        };
        upstreamOptions.speed.stepBase = std::chrono::milliseconds(parsed["step-ms"].as<int>());
        upstreamOptions.speed.maxBatch = parsed["max-batch"].as<std::uint32_t>();
        EventLoop loop;
        const FakeUpstream upstream(loop, upstreamOptions);
        std::cout << "listening " << upstream.port() << std::endl;
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << "fakeupstream: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
