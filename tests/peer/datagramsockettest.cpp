#include "peer/datagramsocket.h"

#include "support/processes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

TEST_CASE("a datagram arrives whole with its sender's address, and one without a receiver is lost without an error")
{
    const TestNetwork network;
    constexpr std::uint16_t Port = 7601;
    EventLoop loop;
    auto one = DatagramSocket::bind(loop, Address{.host = network.host(1), .port = Port});
    auto two = DatagramSocket::bind(loop, Address{.host = network.host(2), .port = Port});
    REQUIRE(ok(one));
    REQUIRE(ok(two));
    std::string from;
    std::string bytes;
    valueOf(two)->received().connect([&](const std::string &sender, std::string_view received) {
        from = sender;
        bytes = received;
        loop.stop();
    });
    const std::string large(20'000, 'x');
    valueOf(one)->send(Address{.host = network.host(3), .port = Port}, "to nobody");
    valueOf(one)->send(Address{.host = "no address", .port = Port}, "to nobody");
    valueOf(one)->send(Address{.host = network.host(2), .port = Port}, large);
    loop.run();
    CHECK(from == network.host(1));
    CHECK(bytes == large);
}

TEST_CASE("binding an address that is in use is refused with the remedy")
{
    const TestNetwork network;
    EventLoop loop;
    const Address address{.host = network.host(1), .port = 7602};
    auto first = DatagramSocket::bind(loop, address);
    REQUIRE(ok(first));
    auto second = DatagramSocket::bind(loop, address);
    REQUIRE_FALSE(ok(second));
    CHECK(errorOf(second).kind == ErrorKind::Unavailable);
    CHECK_THAT(errorOf(second).message, Catch::Matchers::Contains("nothing else uses the port"));
}
