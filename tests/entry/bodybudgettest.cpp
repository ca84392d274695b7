#include "entry/bodybudget.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace cumindyke;

namespace
{

constexpr std::size_t Budget = 1 << 20;
constexpr std::size_t Large = 256 << 10;
constexpr std::size_t Small = 16 << 10;

}

// Guards against large bodies that keep small ones waiting.
TEST_CASE("large bodies leave a quarter of the budget to small ones")
{
    BodyBudget budget(Budget);
    std::vector<std::shared_ptr<BodyReservation>> held;
    while (auto reservation = budget.reserve(Large)) {
        held.push_back(reservation);
    }
    CHECK(held.size() == 2);
    CHECK(budget.usedBytes() <= Budget - Budget / 4);
    while (auto reservation = budget.reserve(Small)) {
        held.push_back(reservation);
    }
    CHECK(held.size() > 10);
    CHECK(budget.usedBytes() <= Budget);
}

// Guards against a body that is refused for ever on a VM with little memory.
TEST_CASE("a body that is alone always has room")
{
    BodyBudget budget(Small);
    const auto alone = budget.reserve(Large);
    CHECK(alone);
    CHECK_FALSE(budget.reserve(1));
}

// Guards against room that is lost: after enough requests no body would be read any more.
TEST_CASE("a body's room comes back when it is released in whatever thread")
{
    BodyBudget budget(Budget);
    auto reservation = budget.reserve(Large);
    reservation->shrinkTo(Small);
    CHECK(budget.usedBytes() == Small + BodyBudget::Overhead);
    reservation->shrinkTo(Large);
    CHECK(budget.usedBytes() == Small + BodyBudget::Overhead);
    std::thread([&reservation] { reservation.reset(); }).join();
    CHECK(budget.usedBytes() == 0);
}
