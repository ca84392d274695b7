// Planted faults for each check of the soak: a check that finds no planted fault proves nothing about the daemon.

#include "soak/answerchecker.h"
#include "faultyupstream/soakcontent.h"

#include <catch2/catch.hpp>

using namespace cumindyke::test;

namespace
{

const SoakRequest Stream{.id = "s-1-7", .isStream = true, .count = 4};
const SoakRequest Plain{.id = "s-1-8", .count = 4};

std::string answerOf(const std::string &body, const std::string &framing, const std::string &id = "s-1-7", const std::string &status = "200")
{
    const std::string head = "HTTP/1.1 " + status + " OK\r\nCumindyke-Request-Id: " + id + "\r\nCumindyke-Runner-Seal: seal\r\n";
    if (framing == "length") {
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    return head + "\r\n" + body;
}

/// The kinds of all violations, joined by spaces.
std::string kindsOf(const std::vector<Violation> &found)
{
    std::string kinds;
    for (const Violation &violation : found) {
        kinds += (kinds.empty() ? "" : " ") + violation.kind;
    }
    return kinds;
}

std::string check(const SoakRequest &request, const std::string &bytes, ConnectionEnd end = ConnectionEnd::InOrder)
{
    const CallerAnswer answer = parseAnswer(bytes, end);
    return kindsOf(checkAnswer(request, answer, answer.isComplete ? std::string_view(bytes).substr(answer.bytes) : std::string_view()));
}

std::string part(int number, const std::string &id = "s-1-7")
{
    return contentPart(true, id, number, 4);
}

}

// Guards against a checker that reports right answers: whole ones in each framing, and ones that are seen to be broken off.
TEST_CASE("the soak's checker accepts whole answers and those that are seen to be broken off")
{
    const std::string whole = contentOf(true, Stream.id, Stream.count);
    CHECK(check(Stream, answerOf(whole, "length"), ConnectionEnd::Open).empty());
    CHECK(check(Stream, answerOf(whole, "unframed")).empty());
    CHECK(check(Plain, answerOf(contentOf(false, Plain.id, Plain.count), "length", Plain.id)).empty());
    CHECK(check(Stream, answerOf(part(1) + "id: 2\nda", "unframed"), ConnectionEnd::Reset).empty());
    CHECK(check(Stream, "").empty());
    const std::string chunked = "HTTP/1.1 200 OK\r\nCumindyke-Request-Id: s-1-7\r\nCumindyke-Runner-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string first = whole.substr(0, 16);
    CHECK(check(Stream, chunked + "10\r\n" + first + "\r\n", ConnectionEnd::InOrder).empty());
    CHECK_FALSE(parseAnswer(chunked + "10\r\n" + first + "\r\n0\r\n", ConnectionEnd::InOrder).isComplete);
    CHECK(parseAnswer(chunked + "10\r\n" + first + "\r\n0\r\n\r\n", ConnectionEnd::Open).body == first);
    CHECK(check(Stream, chunked + "10\r\n" + first + "\r\n0\r\n\r\n", ConnectionEnd::Open) == "truncated");
    CHECK(check(Stream, chunked + "10\r\n" + first + "xx") == "malformed");
}

// Guards against a soak that does not see a shortened answer which looks complete: by an end in order, by its length, and to a plain request.
TEST_CASE("the soak's checker finds a truncated answer that looks complete")
{
    CHECK(check(Stream, answerOf(part(1) + part(2), "unframed")) == "truncated-http10");
    CHECK(check(Stream, answerOf("", "unframed")) == "truncated-http10");
    CHECK(check(Stream, answerOf(part(1) + "id: 2\nda", "length"), ConnectionEnd::Open) == "truncated");
    CHECK(check(Plain, answerOf(contentOf(false, Plain.id, 4).substr(0, 30), "length", Plain.id)) == "truncated");
}

// Guards against a soak that does not see a second answer, or bytes of it, within the body or behind the answer.
TEST_CASE("the soak's checker finds an answer that is joined to another")
{
    const std::string whole = contentOf(true, Stream.id, Stream.count);
    CHECK(check(Stream, answerOf(whole + answerOf(whole, "unframed"), "unframed")) == "joined");
    CHECK(check(Stream, answerOf(part(1) + answerOf(whole, "unframed"), "unframed"), ConnectionEnd::Reset) == "joined");
    CHECK(check(Stream, answerOf(whole, "length") + "HTTP/1.1 200 OK\r\n", ConnectionEnd::Open) == "bytes-behind");
}

// Guards against a soak that does not see events that are missing, repeated, or go back, in streams that are complete or broken off.
TEST_CASE("the soak's checker finds events that are missing or repeated")
{
    const ConnectionEnd end = GENERATE(ConnectionEnd::InOrder, ConnectionEnd::Reset);
    CHECK(check(Stream, answerOf(part(1) + part(3) + part(4), "unframed"), end) == "missing-part");
    CHECK(check(Stream, answerOf(part(2), "unframed"), end) == "missing-part");
    CHECK(check(Stream, answerOf(part(1) + part(2) + part(2) + part(3) + part(4), "unframed"), end) == "repeated-part");
    CHECK(check(Stream, answerOf(part(1) + part(2) + part(3) + part(4) + part(1), "unframed"), end) == "repeated-part");
    CHECK(check(Stream, answerOf(part(1) + "garbage", "unframed"), end) == "wrong-bytes");
    const std::string lines = contentPart(false, Plain.id, 1, 4) + contentPart(false, Plain.id, 3, 4);
    CHECK(check(Plain, answerOf(lines, "unframed", Plain.id), end) == "missing-part");
}

// Guards against a soak that does not see another request's answer: by the echoed id, or by the content alone; or one whose origin is not proved.
TEST_CASE("the soak's checker finds an answer that is another request's")
{
    CHECK(check(Stream, answerOf(contentOf(true, Stream.id, 4), "length", "s-1-70")) == "foreign-id");
    CHECK(check(Stream, answerOf(contentOf(true, "s-1-70", 4), "length")) == "foreign-body");
    CHECK(check(Stream, answerOf(part(1) + part(2, "s-1-70"), "unframed"), ConnectionEnd::Reset) == "foreign-body");
    CHECK(check(Stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") == "unproved truncated");
}

// Guards against a soak that lets statuses pass which no caller can interpret.
TEST_CASE("the soak's checker finds a status that no caller expects")
{
    for (const std::string status : {"000", "099", "101", "204", "304", "400", "600", "999"}) {
        CAPTURE(status);
        CHECK(check(Stream, answerOf(contentOf(true, Stream.id, 4), "length", Stream.id, status)) == "status");
    }
    CHECK(check(Stream, answerOf("", "length", Stream.id, "503")).empty());
    CHECK(check(Stream, "HTTP/1.1 2x0 OK\r\n\r\n") == "malformed");
    CHECK(check(Stream, "id: 3\ndata: x\n\n") == "malformed");
}

// Guards against a soak that does not see a false "not run", or a request that may not be repeated and ran twice.
TEST_CASE("the soak's checker finds a refused request that ran, and a second run")
{
    RunLog log;
    log.add("start s-1-8 i-1 none length\nend s-1-8\nstart s-1-9 i-1 reset unframed\nstart s-1-9 i-2 none chunks\n");
    CHECK(log.faults["s-1-9"] == "reset/unframed+none/chunks");
    for (const int status : {408, 421, 429, 503}) {
        CHECK(kindsOf(checkRuns({{.request = Plain, .answer = {.status = status}}}, log)) == "not-run-ran");
    }
    CHECK(checkRuns({{.request = Plain, .answer = {.status = 502}}, {.request = Stream, .answer = {.status = 503}}}, log).empty());
    SoakRequest twice{.id = "s-1-9"};
    CHECK(kindsOf(checkRuns({{.request = twice, .answer = {.status = 200}}}, log)) == "ran-twice");
    twice.isIdempotent = true;
    CHECK(checkRuns({{.request = twice, .answer = {.status = 200}}}, log).empty());
}

// Guards against a soak that passes over wrong bytes in a complete answer, or of an upstream that sent no answer without end.
TEST_CASE("the soak's checker passes over the bytes of an answer without end only if it was broken off")
{
    RunLog log;
    log.add("start s-1-8 i-1 endless chunks\nstart s-1-9 i-1 none chunks\n");
    const std::string endless(100, 'a');
    const auto found = [&log](const std::string &id, const std::string &answer) {
        const SoakRequest request{.id = id, .count = 4};
        const std::vector<Violation> violations = checkAnswer(request, parseAnswer(answer, ConnectionEnd::InOrder), {});
        REQUIRE(kindsOf(violations) == "wrong-bytes");
        return isOfEndlessAnswer(violations.front(), log);
    };
    const auto answer = [](const std::string &id, const std::string &bytes) {
        return "HTTP/1.1 200 OK\r\nCumindyke-Request-Id: " + id + "\r\nCumindyke-Runner-Seal: s\r\nContent-Length: 100\r\n\r\n" + bytes;
    };
    CHECK(found("s-1-8", answer("s-1-8", endless.substr(1))));
    CHECK_FALSE(found("s-1-8", answer("s-1-8", endless)));
    CHECK_FALSE(found("s-1-9", answer("s-1-9", endless.substr(1))));
}

// Guards against a soak that passes over a cut answer whose reset came in time, was of an earlier run, or of a framed answer.
TEST_CASE("the soak's checker passes over a cut answer only if its upstream ended it in order and sent no reset in time")
{
    const auto passesOver = [](const std::string &lines, const std::string &kind) {
        RunLog log;
        log.add(lines);
        return isOfUnresetEnd({.kind = kind, .id = "s-1-8", .detail = {}}, log);
    };
    const std::string start = "start s-1-8 i-1 finreset unframed\n";
    const std::string ended = "fin s-1-8 i-1\n";
    CHECK(passesOver(start + ended, "truncated"));
    CHECK(passesOver(start + ended, "truncated-http10"));
    CHECK_FALSE(passesOver(start, "truncated"));
    CHECK_FALSE(passesOver(start + ended + "reset s-1-8 i-1\n", "truncated"));
    CHECK_FALSE(passesOver(start + "fin s-1-9 i-1\n", "truncated"));
    CHECK_FALSE(passesOver(start + ended + start, "truncated"));
    CHECK_FALSE(passesOver(start + "start s-1-8 i-2 finreset unframed\n" + ended, "truncated"));
    CHECK_FALSE(passesOver(start + ended, "joined"));
    CHECK_FALSE(passesOver("start s-1-8 i-1 finreset length\n" + ended, "truncated"));
}

// Guards against a soak that does not see a daemon whose memory grows with what upstreams send.
TEST_CASE("the soak's checker finds a daemon over its memory bound")
{
    CHECK(kindsOf(checkMemory("vm 4", 200'001, 200'000)) == "memory");
    CHECK(checkMemory("vm 4", 200'000, 200'000).empty());
}

// Guards against a soak that does not see a daemon that crashes, because it is started again at once.
TEST_CASE("the soak's checker finds a daemon that crashed")
{
    CHECK(kindsOf(checkExit("vm 4", 128 + 11)) == "crash");
    CHECK(kindsOf(checkExit("vm 4", 1)) == "crash");
    CHECK(checkExit("vm 4", 0).empty());
    CHECK(checkExit("vm 4", 128 + 9).empty());
}

// Guards against a checker that misses a request that nobody sent, such as the body of another one, one that ran before all of it was sent, and one whose
// body was changed on the way.
TEST_CASE("the soak's checker finds runs that were not asked for, in part or with another body")
{
    const SoakRequest sent{.id = "s-1-9", .count = 1, .body = digestOf("body")};
    const auto check = [&sent](const std::string &lines, bool isSent) {
        RunLog log;
        log.add(lines);
        return kindsOf(checkAsked({SoakOutcome{.request = sent, .answer = {}, .isSent = isSent}}, log));
    };
    const std::string start = "start s-1-9 u-1 none length ";
    CHECK(check(start + digestOf("body") + "\n", true).empty());
    CHECK(check("", false).empty());
    // Answered before the body was read.
    CHECK(check(start + "-\n", true).empty());
    CHECK(check(start + digestOf("body") + "\n" + start + digestOf("body") + "\n", true).empty());
    CHECK(check(start + digestOf("bod") + "\n", true) == "altered-body");
    CHECK(check(start + digestOf("body") + "\n" + start + digestOf("bodY") + "\n", true) == "altered-body");
    CHECK(check(start + digestOf("body") + "\n", false) == "ran-in-part");
    CHECK(check("start inner-s-1-9 u-1 none length 0:0\n", true) == "unasked");
}
