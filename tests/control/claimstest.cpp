#include "control/claims.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace cumindyke;

namespace
{

v1::ClaimRequest request(const std::string &key, const std::string &id, const std::string &payload = "hall=3", const std::string &vm = "vm-1")
{
    v1::ClaimRequest claim;
    claim.set_organisation("egbe-ijo");
    claim.set_service("booking");
    claim.set_key(key);
    claim.set_request_id(id);
    claim.set_payload(payload);
    claim.set_entry_vm(vm);
    claim.set_keep_s(60);
    return claim;
}

v1::ClaimEnd claimEnd(const std::string &key, const std::string &id, v1::ClaimEnd::End kind, const std::string &body = "")
{
    v1::ClaimEnd end;
    end.set_organisation("egbe-ijo");
    end.set_service("booking");
    end.set_key(key);
    end.set_request_id(id);
    end.set_end(kind);
    if (kind == v1::ClaimEnd::ANSWERED) {
        end.mutable_answer()->set_body(body);
    }
    return end;
}

constexpr WallTime atSecond(std::int64_t seconds)
{
    return WallTime{seconds * 1000};
}

}

TEST_CASE("one attempt of a key may run, others get its holder and then its answer, and another payload is refused")
{
    Claims claims;
    CHECK(claims.claim(request("k", "a"), atSecond(1)).outcome() == v1::ClaimReply::CLAIMED);
    CHECK(claims.claim(request("k", "a"), atSecond(1)).outcome() == v1::ClaimReply::CLAIMED);
    const v1::ClaimReply held = claims.claim(request("k", "b"), atSecond(2));
    CHECK(held.outcome() == v1::ClaimReply::HELD);
    CHECK(held.holder() == "vm-1");
    CHECK(held.request_id() == "a");
    CHECK(claims.claim(request("k", "c", "hall=4"), atSecond(2)).outcome() == v1::ClaimReply::OTHER_PAYLOAD);
    claims.end(claimEnd("k", "b", v1::ClaimEnd::ANSWERED, "not the holder's"), atSecond(3));
    CHECK(claims.claim(request("k", "b"), atSecond(3)).outcome() == v1::ClaimReply::HELD);
    claims.end(claimEnd("k", "a", v1::ClaimEnd::ANSWERED, "paid"), atSecond(3));
    const v1::ClaimReply ended = claims.claim(request("k", "b"), atSecond(4));
    CHECK(ended.outcome() == v1::ClaimReply::ENDED);
    CHECK(ended.answer().body() == "paid");
}

TEST_CASE("a claim that ended as not run may be claimed by another attempt but not by the same one")
{
    Claims claims;
    claims.claim(request("k", "a"), atSecond(1));
    claims.end(claimEnd("k", "a", v1::ClaimEnd::NOT_RUN), atSecond(2));
    CHECK(claims.claim(request("k", "a"), atSecond(3)).outcome() == v1::ClaimReply::NOT_RUN);
    CHECK(claims.claim(request("k", "b"), atSecond(3)).outcome() == v1::ClaimReply::CLAIMED);
    // A late duplicate of the end must not release the claim of the other attempt.
    claims.end(claimEnd("k", "a", v1::ClaimEnd::NOT_RUN), atSecond(4));
    CHECK(claims.claim(request("k", "c"), atSecond(4)).outcome() == v1::ClaimReply::HELD);
}

// The end of a request can reach the log before its claim, if the claim was not decided before the caller was answered. No VM would dispatch the
// request, so the claim must not take effect: the key would be blocked for ever.
TEST_CASE("an end that arrives before its claim forbids the claim")
{
    Claims claims;
    claims.end(claimEnd("k", "a", v1::ClaimEnd::NOT_RUN), atSecond(1));
    CHECK(claims.claim(request("k", "a"), atSecond(2)).outcome() == v1::ClaimReply::NOT_RUN);
    CHECK(claims.claim(request("k", "b"), atSecond(2)).outcome() == v1::ClaimReply::CLAIMED);
}

TEST_CASE("only ended claims expire, after the declared time, also if the clock goes back")
{
    Claims claims;
    claims.claim(request("held", "a"), atSecond(1));
    claims.claim(request("ended", "b"), atSecond(1));
    claims.end(claimEnd("ended", "b", v1::ClaimEnd::ANSWERED, "paid"), atSecond(100));
    CHECK(claims.claim(request("ended", "c"), atSecond(159)).outcome() == v1::ClaimReply::ENDED);
    CHECK(claims.claim(request("ended", "c"), atSecond(10)).outcome() == v1::ClaimReply::ENDED);
    CHECK(claims.claim(request("held", "c"), atSecond(1'000'000)).outcome() == v1::ClaimReply::HELD);
    CHECK(claims.size() == 1);
    CHECK(claims.bytes() == 0);
}

TEST_CASE("claims are bounded in count and bytes, and none is dropped to make room")
{
    Claims claims(ClaimLimits{.maxClaims = 2, .maxBytes = 10, .maxAnswerBytes = 8});
    claims.claim(request("1", "a"), atSecond(1));
    claims.claim(request("2", "b"), atSecond(1));
    CHECK(claims.claim(request("3", "c"), atSecond(1)).outcome() == v1::ClaimReply::OUTCOME_UNSPECIFIED);
    claims.end(claimEnd("1", "a", v1::ClaimEnd::ANSWERED, "12345678"), atSecond(2));
    claims.end(claimEnd("2", "b", v1::ClaimEnd::ANSWERED, "12345678"), atSecond(2));
    CHECK(claims.bytes() == 8);
    CHECK(claims.claim(request("1", "d"), atSecond(3)).outcome() == v1::ClaimReply::ENDED);
    CHECK(claims.claim(request("2", "d"), atSecond(3)).outcome() == v1::ClaimReply::OUTCOME_LOST);
}

TEST_CASE("an answer replaces a lost outcome, and a snapshot restores all claims")
{
    Claims claims;
    claims.claim(request("k", "a"), atSecond(1));
    claims.claim(request("held", "h"), atSecond(1));
    claims.end(claimEnd("k", "a", v1::ClaimEnd::OUTCOME_LOST), atSecond(2));
    CHECK(claims.claim(request("k", "b"), atSecond(2)).outcome() == v1::ClaimReply::OUTCOME_LOST);
    claims.end(claimEnd("k", "a", v1::ClaimEnd::ANSWERED, "paid"), atSecond(3));
    claims.end(claimEnd("early", "e", v1::ClaimEnd::NOT_RUN), atSecond(3));
    v1::StateSnapshot snapshot;
    claims.save(snapshot);
    Claims restored;
    restored.restore(snapshot);
    CHECK(restored.size() == claims.size());
    CHECK(restored.bytes() == claims.bytes());
    CHECK(restored.claim(request("k", "b"), atSecond(4)).answer().body() == "paid");
    CHECK(restored.claim(request("held", "i"), atSecond(4)).outcome() == v1::ClaimReply::HELD);
    CHECK(restored.claim(request("early", "e"), atSecond(4)).outcome() == v1::ClaimReply::NOT_RUN);
}

// In any order of claims, repeated claims and ends of many attempts, a second attempt may get CLAIMED only after the first one ended as NOT_RUN.
TEST_CASE("in any order of commands at most one attempt of a key may run")
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        Claims claims;
        std::set<std::string> mayRun;
        for (int step = 0; step < 60; ++step) {
            const std::string id = std::to_string(random() % 5);
            switch (random() % 4) {
            case 0:
                claims.end(claimEnd("k", id, v1::ClaimEnd::NOT_RUN), atSecond(1));
                mayRun.erase(id);
                break;
            case 1:
                if (random() % 5 == 0) {
                    claims.end(claimEnd("k", id, v1::ClaimEnd::OUTCOME_LOST), atSecond(1));
                }
                break;
            default:
                if (claims.claim(request("k", id), atSecond(1)).outcome() == v1::ClaimReply::CLAIMED) {
                    mayRun.insert(id);
                }
                break;
            }
            REQUIRE(mayRun.size() <= 1);
        }
    }
}
