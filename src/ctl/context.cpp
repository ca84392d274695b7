#include "ctl/context.h"

#include "common/hash.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <random>

namespace cumindyke
{

std::optional<TlsFiles> Context::tls() const
{
    if (!options.count("cert")) {
        return {};
    }
    return TlsFiles{
        .certificate = options["cert"].as<std::string>(),
        .key = options["key"].as<std::string>(),
        .ca = options["ca"].as<std::string>(),
    };
}

OperatorClient Context::makeClient() const
{
    return OperatorClient(options["server"].as<std::string>(), std::chrono::milliseconds(options["timeout-ms"].as<int>()), tls());
}

std::string Context::author() const
{
    const char *user = std::getenv("USER");
    return options.count("author") ? options["author"].as<std::string>() : (user ? user : "");
}

std::string Context::commandId() const
{
    if (options.count("command-id")) {
        return options["command-id"].as<std::string>();
    }
    std::random_device randomDevice;
    return fingerprint(std::to_string(randomDevice()) + std::to_string(randomDevice()) + std::to_string(randomDevice())).substr(0, 24);
}

std::uint64_t Context::afterRevision() const
{
    return options["after"].as<std::uint64_t>();
}

}
