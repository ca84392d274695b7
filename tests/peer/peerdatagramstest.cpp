#include "peer/peerdatagrams.h"

#include "support/processes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

constexpr std::uint16_t Port = 7603;

v1::Envelope heartbeat(std::uint64_t number)
{
    v1::Envelope envelope;
    envelope.mutable_config_heartbeat()->set_beat(number);
    return envelope;
}

}

TEST_CASE("an envelope sent in a datagram arrives with its sender's name")
{
    const TestNetwork network;
    EventLoop loop;
    auto one = PeerDatagrams::open(loop, Address{.host = network.host(1), .port = Port});
    auto two = PeerDatagrams::open(loop, Address{.host = network.host(2), .port = Port});
    REQUIRE(ok(one));
    REQUIRE(ok(two));
    VmName from;
    std::uint64_t beat = 0;
    valueOf(two)->received().connect([&](PeerMessage &message) {
        from = message.from;
        beat = message.envelope.config_heartbeat().beat();
        loop.stop();
    });
    CHECK(valueOf(one)->send(VmName{network.host(2)}, heartbeat(7)));
    loop.run();
    CHECK(from == VmName{network.host(1)});
    CHECK(beat == 7);
    CHECK(valueOf(two)->hasReceivedFrom(from));
    CHECK_FALSE(valueOf(one)->hasReceivedFrom(VmName{network.host(2)}));
    valueOf(two)->removeSender(from);
    CHECK_FALSE(valueOf(two)->hasReceivedFrom(from));
}

// Guards against an envelope that is silently lost: the caller sends these by a call instead.
TEST_CASE("an envelope that is too large for a datagram or has a receiver without an address is not sent")
{
    const TestNetwork network;
    EventLoop loop;
    auto one = PeerDatagrams::open(loop, Address{.host = network.host(1), .port = Port});
    REQUIRE(ok(one));
    v1::Envelope large;
    large.mutable_config_update()->add_relay(std::string(20'000, 'x'));
    CHECK_FALSE(valueOf(one)->send(VmName{network.host(2)}, large));
    CHECK_FALSE(valueOf(one)->send(VmName{"lagos-1"}, heartbeat(1)));
}

// Guards against a heartbeat attributed to another VM: a lease would be granted to a VM that did not request it.
TEST_CASE("a datagram whose named sender differs from its source address is dropped")
{
    const TestNetwork network;
    EventLoop loop;
    auto receiver = PeerDatagrams::open(loop, Address{.host = network.host(1), .port = Port});
    auto sender = DatagramSocket::bind(loop, Address{.host = network.host(2), .port = Port});
    REQUIRE(ok(receiver));
    REQUIRE(ok(sender));
    std::vector<std::uint64_t> beats;
    valueOf(receiver)->received().connect([&](PeerMessage &message) {
        beats.push_back(message.envelope.config_heartbeat().beat());
        loop.stop();
    });
    v1::PeerBatch batch;
    batch.set_to(network.host(1));
    batch.set_from(network.host(3));
    *batch.add_envelopes() = heartbeat(1);
    valueOf(sender)->send(Address{.host = network.host(1), .port = Port}, batch.SerializeAsString());
    valueOf(sender)->send(Address{.host = network.host(1), .port = Port}, "no message");
    batch.set_from(network.host(2));
    *batch.mutable_envelopes(0) = heartbeat(2);
    valueOf(sender)->send(Address{.host = network.host(1), .port = Port}, batch.SerializeAsString());
    loop.run();
    CHECK(beats == std::vector<std::uint64_t>{2});
}
