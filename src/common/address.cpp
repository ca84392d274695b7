#include "common/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace cumindyke
{

Result<Address> parseAddress(std::string_view text)
{
    const Error invalid{ErrorKind::Invalid, "'" + std::string(text) + "' is not an address: write an IP address and a port, for example 10.0.0.4:8080"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid;
    }
    Address address{.host = std::string(text.substr(0, colon)), .port = 0};
    in_addr parsed{};
    if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        return invalid;
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, failure] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (failure != std::errc{} || end != port.data() + port.size()) {
        return invalid;
    }
    return address;
}

bool isUsable(const Address &address)
{
    constexpr unsigned FirstMulticastByte = 224;
    in_addr host{};
    if (address.port == 0 || inet_pton(AF_INET, address.host.c_str(), &host) != 1) {
        return false;
    }
    const unsigned firstByte = ntohl(host.s_addr) >> 24U;
    return firstByte != 0 && firstByte < FirstMulticastByte;
}

std::optional<sockaddr_in> socketAddress(const Address &address)
{
    sockaddr_in socket{};
    socket.sin_family = AF_INET;
    socket.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &socket.sin_addr) != 1) {
        return {};
    }
    return socket;
}

}
