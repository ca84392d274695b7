#include "control/movecommands.h"
#include "control/convert.h"
#include "control/statemachine.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cumindyke;

namespace
{

constexpr const char *AmmanDeclarations = R"(
[[tier]]
name = "family"
rank = 0
[[service]]
name = "drafting"
kind = "model"
version = "v1"
[[service]]
name = "planning"
kind = "plain"
version = "v1"
[[upstream]]
name = "drafting-1"
service = "drafting"
version = "v1"
data_centre = "amman-1"
address = "10.0.0.1:9000"
slots = 8
[[upstream]]
name = "drafting-2"
service = "drafting"
version = "v2"
data_centre = "amman-1"
address = "10.0.0.2:9000"
slots = 8
[[upstream]]
name = "planning-1"
service = "planning"
version = "v1"
data_centre = "amman-1"
address = "10.0.0.3:9000"
slots = 8
[[upstream]]
name = "planning-2"
service = "planning"
version = "v2"
data_centre = "amman-1"
address = "10.0.0.4:9000"
slots = 8
)";

/// Applies commands to a state machine, each under an id of its own and one second apart.
class CommandLog
{
public:
    CommandLog()
    {
        v1::Command command;
        const Result<std::vector<Change>> changes = parseDeclarations(AmmanDeclarations, "amman.toml");
        REQUIRE(ok(changes));
        for (const Change &change : valueOf(changes)) {
            *command.mutable_apply()->add_changes() = toWire(change);
        }
        REQUIRE(apply(command).outcome() == v1::CommandReply::ACCEPTED);
    }
    v1::CommandReply apply(v1::Command command)
    {
        command.set_command_id(std::to_string(++m_count));
        command.set_at_ms(1'000 * static_cast<std::int64_t>(m_count));
        return m_state.apply(command).reply();
    }
    v1::CommandReply start(const std::string &service, const std::string &version = "v2")
    {
        v1::Command command;
        command.mutable_start_move()->set_service(service);
        command.mutable_start_move()->set_to_version(version);
        command.mutable_start_move()->set_deadline_ms(1'000'000);
        return apply(command);
    }
    v1::CommandReply abort(const std::string &move)
    {
        v1::Command command;
        command.mutable_abort_move()->set_move(move);
        return apply(command);
    }
    v1::CommandReply decide(const std::string &move, v1::MoveState state, std::uint32_t share)
    {
        v1::Command command;
        command.mutable_move_verdict()->set_move(move);
        command.mutable_move_verdict()->set_state(state);
        command.mutable_move_verdict()->set_share_permille(share);
        return apply(command);
    }
    v1::CommandReply applyChange(const Change &change)
    {
        v1::Command command;
        command.mutable_apply()->set_base_revision(m_state.declarations().revision().value);
        *command.mutable_apply()->add_changes() = toWire(change);
        return apply(command);
    }
    const v1::Move &move(const std::string &service) const
    {
        for (const auto &[name, move] : m_state.moves()) {
            if (move.service() == service) {
                return move;
            }
        }
        FAIL("no move of " + service);
        std::abort();
    }
    std::string declaredVersion(const std::string &service) const
    {
        return m_state.declarations().service(ServiceName{service})->version.value;
    }
    StateMachine &state()
    {
        return m_state;
    }

private:
    StateMachine m_state;
    std::size_t m_count = 0;
};

constexpr auto Accepted = v1::CommandReply::ACCEPTED;
constexpr auto Refused = v1::CommandReply::INVALID;

}

TEST_CASE("a move that is done makes its version the declared one and adds it to the history")
{
    CommandLog log;
    REQUIRE(log.start("drafting").outcome() == Accepted);
    const std::string name = log.move("drafting").name();
    CHECK(log.decide(name, v1::MOVE_STATE_RAMPING, 83).outcome() == Accepted);
    CHECK(log.decide(name, v1::MOVE_STATE_DONE, 1000).outcome() == Refused);
    CHECK(log.decide(name, v1::MOVE_STATE_SOAKING, 900).outcome() == Accepted);
    CHECK(log.declaredVersion("drafting") == "v1");
    CHECK(log.decide(name, v1::MOVE_STATE_DONE, 1000).outcome() == Accepted);
    CHECK(log.declaredVersion("drafting") == "v2");
    CHECK(log.state().historyAfter(Revision{1}).at(0).author() == "move " + name);
    CHECK(log.move("drafting").share_permille() == 1000);
}

TEST_CASE("a verdict after an abort is refused and changes nothing")
{
    // Guards against a version that gets traffic again after it was rolled back: an operator aborts the move before a verdict with a larger share is
    // applied. A closed move refuses every verdict.
    CommandLog log;
    REQUIRE(log.start("drafting").outcome() == Accepted);
    const std::string name = log.move("drafting").name();
    CHECK(log.abort(name).outcome() == Accepted);
    for (const auto state : {v1::MOVE_STATE_RAMPING, v1::MOVE_STATE_SOAKING, v1::MOVE_STATE_DONE, v1::MOVE_STATE_TAKEN_BACK}) {
        CHECK(log.decide(name, state, 500).outcome() == Refused);
    }
    CHECK(log.abort(name).outcome() == Refused);
    CHECK(log.move("drafting").state() == v1::MOVE_STATE_ABORTED);
    CHECK(log.move("drafting").share_permille() == 0);
    CHECK(log.declaredVersion("drafting") == "v1");
}

TEST_CASE("a service has one open move at a time, and moves of other services run concurrently")
{
    CommandLog log;
    REQUIRE(log.start("drafting").outcome() == Accepted);
    CHECK(log.start("drafting").outcome() == Refused);
    CHECK(log.start("planning").outcome() == Accepted);
    const std::string first = log.move("drafting").name();
    CHECK(log.decide(first, v1::MOVE_STATE_TAKEN_BACK, 0).outcome() == Accepted);
    CHECK(log.move("planning").state() == v1::MOVE_STATE_RAMPING);
    CHECK(log.start("drafting").outcome() == Accepted);
    CHECK(log.decide(first, v1::MOVE_STATE_RAMPING, 100).outcome() == Refused);
    CHECK(log.state().moves().size() == 2);
}

TEST_CASE("a move of an unknown service or to an unusable version is refused")
{
    CommandLog log;
    CHECK(log.start("nothing").outcome() == Refused);
    CHECK(log.start("drafting", "v1").outcome() == Refused);
    CHECK(log.start("drafting", "v3").outcome() == Refused);
    CHECK(log.abort("nothing").outcome() == Refused);
}

TEST_CASE("declarations that break an open move are refused")
{
    CommandLog log;
    REQUIRE(log.start("drafting").outcome() == Accepted);
    Service service = *log.state().declarations().service(ServiceName{"drafting"});
    service.version = VersionName{"v2"};
    CHECK(log.applyChange(service).outcome() == Refused);
    CHECK(log.applyChange(Removal{.kind = Kind::Upstream, .name = "drafting-2"}).outcome() == Refused);
    CHECK(log.applyChange(Removal{.kind = Kind::Upstream, .name = "drafting-1"}).outcome() == Refused);
    CHECK(log.applyChange(Removal{.kind = Kind::Upstream, .name = "planning-2"}).outcome() == Accepted);
    CHECK(log.abort(log.move("drafting").name()).outcome() == Accepted);
    CHECK(log.applyChange(Removal{.kind = Kind::Upstream, .name = "drafting-2"}).outcome() == Accepted);
}

TEST_CASE("the next leader continues a move from the log after a failure at any step")
{
    // The leader fails after any of its commands, another VM continues from a snapshot, and the command of the failed leader is resent under its id.
    // The state must end as without a failure.
    const std::vector<std::pair<v1::MoveState, std::uint32_t>> steps{
        {v1::MOVE_STATE_RAMPING, 83}, {v1::MOVE_STATE_RAMPING, 300}, {v1::MOVE_STATE_SOAKING, 900}, {v1::MOVE_STATE_DONE, 1000}};
    for (std::size_t failedStep = 0; failedStep <= steps.size(); ++failedStep) {
        CommandLog log;
        REQUIRE(log.start("drafting").outcome() == Accepted);
        const std::string name = log.move("drafting").name();
        StateMachine next;
        for (std::size_t step = 0; step < steps.size(); ++step) {
            if (step == failedStep) {
                REQUIRE(ok(next.restore(log.state().snapshot())));
                log.state() = next;
            }
            CHECK(log.decide(name, steps[step].first, steps[step].second).outcome() == Accepted);
        }
        CHECK(log.move("drafting").state() == v1::MOVE_STATE_DONE);
        CHECK(log.declaredVersion("drafting") == "v2");
    }
}

TEST_CASE("under random commands closed moves stay closed and only a done move changes the declared version")
{
    for (std::uint32_t seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        CommandLog log;
        std::map<std::string, v1::Move> closed;
        for (int step = 0; step < 60; ++step) {
            const std::string service = random() % 2 == 0 ? "drafting" : "planning";
            std::string name = "none";
            for (const auto &[known, move] : log.state().moves()) {
                name = random() % 2 == 0 || name == "none" ? known : name;
            }
            switch (random() % 4) {
            case 0:
                log.start(service, random() % 2 == 0 ? "v1" : "v2");
                break;
            case 1:
                log.abort(random() % 4 == 0 ? name : "none");
                break;
            default:
                log.decide(name, static_cast<v1::MoveState>(random() % 6), static_cast<std::uint32_t>(random() % 1100));
            }
            std::map<std::string, int> open;
            for (const auto &[known, move] : log.state().moves()) {
                const bool isOpen = fromWire(move).isOpen();
                CHECK((open[move.service()] += isOpen ? 1 : 0) <= 1);
                if (const auto before = closed.find(known); before != closed.end()) {
                    CHECK(before->second.SerializeAsString() == move.SerializeAsString());
                } else if (!isOpen) {
                    closed[known] = move;
                    CHECK(log.declaredVersion(move.service()) == (move.state() == v1::MOVE_STATE_DONE ? move.to_version() : move.from_version()));
                }
            }
        }
    }
}
