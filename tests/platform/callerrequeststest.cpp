#include "fakeplatform/platformsystem.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <iostream>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

const std::string Host = "Host: desk.example\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";

/// The bytes of one request line, the fields that each request needs, more fields and a body.
std::string message(const std::string &requestLine, const std::string &moreFields = Host, const std::string &body = {})
{
    return requestLine + "\r\nCumindyke-Request-Id: ID\r\nCumindyke-Deadline-Ms: 4000\r\nCumindyke-Key: key-1\r\n" + moreFields + "\r\n" + body;
}

std::string deposit(const std::string &moreFields, const std::string &body = {})
{
    return message("POST /deposits/a HTTP/1.1", Host + moreFields, body);
}

/// A complete request that is also the content of a body: it must run if a request ended before it, and never otherwise.
std::string inner()
{
    std::string text = message("POST /deposits/inner HTTP/1.1", Host + "Connection: close\r\nContent-Length: 2\r\n", "in");
    text.replace(text.find("ID"), 2, "IN");
    return text;
}

std::string hexadecimal(std::size_t number)
{
    std::string text;
    for (; number > 0; number /= 16) {
        text.insert(text.begin(), "0123456789abcdef"[number % 16]);
    }
    return text;
}

struct Row
{
    std::string name;
    std::string bytes;
    /// What the upstream runs of it, as method, target and body; empty: the request is refused.
    std::string run;
    /// Of the first answer; of other ones 200 is expected.
    int status = 400;
};

std::vector<Row> refusedRows()
{
    const std::string length = std::to_string(inner().size());
    const std::string body = "Content-Length: " + length + "\r\n";
    const std::string twoLengths = Host + "Content-Length: 0\r\n" + body;
    std::string list = "Content-Length: ";
    list.append(length).append(", ").append(length).append("\r\n");
    const std::string post = "POST /deposits/a HTTP/1.1";
    std::vector<Row> rows;
    const auto refuse = [&rows](const std::string &name, const std::string &bytes) { rows.push_back(Row{.name = name, .bytes = bytes, .run = {}}); };
    // Lengths; inner() follows each row, as the body that some reader finds in it.
    for (const std::string &fields : {"Content-Length: 0\r\n" + body,
                                      body + "Content-Length: 0\r\n",
                                      body + body,
                                      list,
                                      "Content-Length: 0," + length + "\r\n",
                                      "Content-Length : " + length + "\r\n",
                                      "Content-Length\t: " + length + "\r\n",
                                      " Content-Length: " + length + "\r\n",
                                      "Content-Length: +" + length + "\r\n",
                                      "Content-Length: -" + length + "\r\n",
                                      std::string("Content-Length: -0\r\n"),
                                      "Content-Length: 0x" + hexadecimal(inner().size()) + "\r\n",
                                      std::string("Content-Length: 1 2\r\n"),
                                      std::string("Content-Length: 2a\r\n"),
                                      std::string("Content-Length: 2.0\r\n"),
                                      std::string("Content-Length:\r\n"),
                                      std::string("Content-Length: \"2\"\r\n"),
                                      std::string("Content-Length: 18446744073709551618\r\n"),
                                      std::string("Content-Length: 99999999999999999999999\r\n"),
                                      body + Chunked,
                                      Chunked + body,
                                      Chunked + "Content-Length: 0\r\n",
                                      Chunked + Chunked,
                                      std::string("Transfer-Encoding: gzip\r\n"),
                                      std::string("Transfer-Encoding: gzip, chunked\r\n"),
                                      std::string("Transfer-Encoding: chunked, gzip\r\n"),
                                      std::string("Transfer-Encoding: chunked, chunked\r\n"),
                                      std::string("Transfer-Encoding: identity\r\n"),
                                      std::string("Transfer-Encoding: xchunked\r\n"),
                                      std::string("Transfer-Encoding: \"chunked\"\r\n"),
                                      std::string("Transfer-Encoding: chunked;q=1\r\n"),
                                      std::string("Transfer-Encoding:\r\n"),
                                      std::string("Transfer-Encoding : chunked\r\n"),
                                      std::string("Transfer-Encoding: \x0b"
                                                  "chunked\r\n"),
                                      body + "Transfer-Encoding: identity\r\n"}) {
        refuse("framing " + fields, deposit(fields));
    }
    // Fields and lines.
    for (const std::string &fields : {std::string(": x\r\n"),
                                      std::string("A B: x\r\n"),
                                      std::string("A(: x\r\n"),
                                      std::string("A\x80: x\r\n"),
                                      std::string("A\0: x\r\n", 7),
                                      std::string("A: x\0y\r\n", 8),
                                      std::string("A: x\ry\r\n"),
                                      std::string("A: x\r\r\n"),
                                      std::string("A: x\n"),
                                      std::string("A: x\n" + body),
                                      std::string("A: x\r" + body),
                                      std::string("A: x\x7f\r\n"),
                                      std::string("A: x\r\n folded\r\n"),
                                      std::string("A: x\r\n\tfolded\r\n"),
                                      std::string("A: x\r\n\r " + body),
                                      std::string("no field\r\n")}) {
        refuse("field " + fields, deposit(fields));
    }
    refuse("blank before the first field", message(post + "\r\n X: y"));
    refuse("bare LF ends the head", post + "\n" + Host + "\n");
    refuse("bare LF ends the last line", "POST /deposits/a HTTP/1.1\r\nHost: desk.example\r\nCumindyke-Request-Id: ID\r\nCumindyke-Key: key-1\r\n\n");
    // Chunks.
    for (const std::string &body : {std::string("-2\r\nab\r\n0\r\n\r\n"),
                                    std::string("+2\r\nab\r\n0\r\n\r\n"),
                                    std::string("0x2\r\nab\r\n0\r\n\r\n"),
                                    std::string(" 2\r\nab\r\n0\r\n\r\n"),
                                    std::string("2 \r\nab\r\n0\r\n\r\n"),
                                    std::string("2\t\r\nab\r\n0\r\n\r\n"),
                                    std::string("2 2\r\nab\r\n0\r\n\r\n"),
                                    std::string("\r\n\r\n"),
                                    std::string(";a\r\n\r\n"),
                                    std::string("g\r\n\r\n"),
                                    std::string("10000000000000002\r\nab\r\n0\r\n\r\n"),
                                    std::string("fffffffffffffffe\r\nab\r\n0\r\n\r\n"),
                                    std::string("2\nab\r\n0\r\n\r\n"),
                                    std::string("2\rab\r\n0\r\n\r\n"),
                                    std::string("2\r\nab\n0\r\n\r\n"),
                                    std::string("2\r\nabc\r\n0\r\n\r\n"),
                                    std::string("2\r\na\r\n0\r\n\r\n"),
                                    std::string("2\r\nab0\r\n\r\n"),
                                    std::string("2;x\ny\r\nab\r\n0\r\n\r\n"),
                                    std::string("2;x\0\r\nab\r\n0\r\n\r\n", 15),
                                    std::string("2\r\nab\r\n0\r\nA: x\n\r\n"),
                                    std::string("2\r\nab\r\n0\r\n\n"),
                                    std::string("2\r\nab\r\n0\r\nA : x\r\n\r\n"),
                                    std::string("2\r\nab\r\n0\r\nno field\r\n\r\n"),
                                    "2;" + std::string(5000, 'x') + "\r\nab\r\n0\r\n\r\n"}) {
        refuse("chunks " + body.substr(0, 40), deposit(Chunked, body));
    }
    // Targets.
    for (const std::string target : {"deposits/a",
                                     "?a=/deposits/a",
                                     "",
                                     "*",
                                     "desk.example:80",
                                     "desk.example",
                                     "http:/deposits/a",
                                     "ftp://desk.example/deposits/a",
                                     "http:///deposits/a",
                                     "http://other.example/deposits/a",
                                     "http://desk.example:81/deposits/a",
                                     "http://me@desk.example/deposits/a",
                                     "/deposits/a b",
                                     "/deposits/a\tb",
                                     "/deposits/a\x01",
                                     "/deposits/a\x7f",
                                     "/deposits/a#b"}) {
        refuse("target " + target, message("POST " + target + " HTTP/1.1"));
    }
    refuse("target with NUL", message(std::string("POST /deposits/a\0 HTTP/1.1", 26)));
    refuse("two spaces", message("POST  /deposits/a HTTP/1.1"));
    refuse("two spaces before the version", message("POST /deposits/a  HTTP/1.1"));
    refuse("tab in the request line", message("POST\t/deposits/a HTTP/1.1"));
    refuse("space after the version", message("POST /deposits/a HTTP/1.1 "));
    refuse("space before the method", message(" POST /deposits/a HTTP/1.1"));
    refuse("method that is no token", message("PO(ST /deposits/a HTTP/1.1"));
    refuse("CONNECT", message("CONNECT desk.example:80 HTTP/1.1"));
    refuse("CONNECT with a path", message("CONNECT /deposits/a HTTP/1.1"));
    refuse("HTTP/0.9", "GET /deposits/a\r\n");
    refuse("HTTP/2.0", message("POST /deposits/a HTTP/2.0"));
    refuse("preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    refuse("version in lower case", message("POST /deposits/a http/1.1"));
    refuse("version with two digits", message("POST /deposits/a HTTP/1.10"));
    refuse("version with a sign", message("POST /deposits/a HTTP/1.+1"));
    // Hosts.
    refuse("no host", message("POST /deposits/a HTTP/1.1", ""));
    refuse("two hosts", message("POST /deposits/a HTTP/1.1", Host + "Host: other.example\r\n"));
    refuse("two equal hosts", message("POST /deposits/a HTTP/1.1", Host + Host));
    refuse("host with a blank", message("POST /deposits/a HTTP/1.1", "Host: desk.example other.example\r\n"));
    refuse("host with a path", message("POST /deposits/a HTTP/1.1", "Host: desk.example/deposits/\r\n"));
    refuse("host with a user", message("POST /deposits/a HTTP/1.1", "Host: me@desk.example\r\n"));
    // Bodies of other methods.
    for (const std::string method : {"GET", "HEAD", "DELETE", "OPTIONS", "PUT", "PATCH"}) {
        refuse(method + " with two lengths", message(method + " /deposits/a HTTP/1.1", twoLengths));
    }
    refuse("encoding with HTTP/1.0", message("POST /deposits/a HTTP/1.0", Host + Chunked, "2\r\nab\r\n0\r\n\r\n"));
    rows.push_back(Row{.name = "long head", .bytes = deposit("A: " + std::string(40'000, 'x') + "\r\n"), .run = {}, .status = 431});
    rows.push_back(Row{.name = "long body", .bytes = deposit("Content-Length: 5000000\r\n"), .run = {}, .status = 413});
    rows.push_back(Row{.name = "body of 18 digits", .bytes = deposit("Content-Length: 999999999999999999\r\n"), .run = {}, .status = 413});
    rows.push_back(Row{.name = "long chunk", .bytes = deposit(Chunked, "500000\r\n" + std::string(5 << 20, 'x')), .run = {}, .status = 413});
    rows.push_back(Row{.name = "unknown expectation", .bytes = deposit("Expect: more\r\nContent-Length: 2\r\n", "ab"), .run = {}, .status = 417});
    rows.push_back(Row{.name = "unknown method", .bytes = message("MOVE /deposits/a HTTP/1.1", Host + body), .run = {}, .status = 501});
    return rows;
}

std::vector<Row> servedRows()
{
    const std::string ran = "POST /deposits/a ";
    std::vector<Row> rows;
    const auto serve = [&rows](const std::string &name, const std::string &bytes, const std::string &run) {
        rows.push_back(Row{.name = name, .bytes = bytes, .run = run, .status = 200});
    };
    const std::string length = std::to_string(inner().size());
    serve("no body", deposit(""), ran);
    serve("length 0", deposit("Content-Length: 0\r\n"), ran);
    serve("length", deposit("Content-Length: 2\r\n", "ab"), ran + "ab");
    serve("length with blanks around it", deposit("Content-Length:  2\t \r\n", "ab"), ran + "ab");
    serve("length after a tab", deposit("Content-Length:\t2\r\n", "ab"), ran + "ab");
    serve("length without a blank", deposit("content-length:002\r\n", "ab"), ran + "ab");
    serve("body that is a request", deposit("Content-Length: " + length + "\r\n", inner()), ran + inner());
    serve("chunks that are a request", deposit(Chunked, hexadecimal(inner().size()) + "\r\n" + inner() + "\r\n0\r\n\r\n"), ran + inner());
    serve("chunks", deposit("transfer-encoding:CHUNKED \r\n", "2\r\nab\r\n03\r\ncde\r\n00\r\n\r\n"), ran + "abcde");
    serve("encoding after a tab", deposit("Transfer-Encoding:\tchunked\r\n", "2\r\nab\r\n0\r\n\r\n"), ran + "ab");
    serve("no chunk but the last", deposit(Chunked, "0\r\n\r\n"), ran);
    serve("chunk extensions", deposit(Chunked, "2;a\r\nab\r\n3;b=\"c;d\";e=f\r\ncde\r\n0;g\r\n\r\n"), ran + "abcde");
    serve("blanks before a chunk extension", deposit(Chunked, "2 ;a\r\nab\r\n0\t; b\r\n\r\n"), ran + "ab");
    serve("trailers", deposit(Chunked, "2\r\nab\r\n0\r\nCumindyke-Key: other\r\nContent-Length: 7\r\n\r\n"), ran + "ab");
    // With the body there is nothing to wait for: no status 100.
    serve("100-continue", deposit("Expect: 100-continue\r\nContent-Length: 2\r\n", "ab"), ran + "ab");
    serve("empty line before the request", "\r\n" + deposit("Content-Length: 2\r\n", "ab"), ran + "ab");
    serve("empty value", deposit("A:\r\nB: \r\n"), ran);
    serve("value with a tab and bytes above 127", deposit("A: \tb\tc \xc3\xa9\r\n"), ran);
    serve("HTTP/1.2", message("POST /deposits/a HTTP/1.2"), ran);
    for (const std::string method : {"GET", "DELETE", "PUT", "PATCH"}) {
        serve(method, message(method + " /deposits/a HTTP/1.1"), method + " /deposits/a ");
        serve(method + " with a body", message(method + " /deposits/a HTTP/1.1", Host + "Content-Length: 2\r\n", "ab"), method + " /deposits/a ab");
        serve(method + " with chunks", message(method + " /deposits/a HTTP/1.1", Host + Chunked, "2\r\nab\r\n0\r\n\r\n"), method + " /deposits/a ab");
    }
    // The target is sent on unchanged.
    for (const std::string target : {"/deposits/",
                                     "/deposits//a",
                                     "/deposits/./a",
                                     "/deposits/../a",
                                     "/deposits/../drafts/a",
                                     "/deposits/%2f",
                                     "/deposits/%2e",
                                     "/deposits/%2e%2e/%zz/",
                                     "/deposits/;a=b/c;d",
                                     "/deposits/?",
                                     "/deposits/a?b=/drafts/",
                                     "/deposits/?a?b",
                                     "/deposits/a|b",
                                     "/deposits/[a]",
                                     "/deposits/http://a/",
                                     "/deposits/a:80",
                                     "/deposits/\xc3\xa9",
                                     "/deposits//hall7/slots/1"}) {
        serve("target " + target, message("POST " + target + " HTTP/1.1"), "POST " + target + " ");
    }
    serve("absolute-form", message("POST http://desk.example/deposits/a?b HTTP/1.1"), "POST /deposits/a?b ");
    serve("absolute-form in capitals", message("POST HTTP://DESK.example/deposits/a HTTP/1.1"), ran);
    return rows;
}

/// The path as sent chooses the route: no prefix begins these.
std::vector<Row> unroutedRows()
{
    std::vector<Row> rows;
    for (const std::string target : {"/",
                                     "//",
                                     "//deposits/a",
                                     "//hall7/deposits/a",
                                     "//a:b/deposits/a",
                                     "//@/deposits/a",
                                     "/./deposits/a",
                                     "/x/../deposits/a",
                                     "/%2fdeposits/a",
                                     "/%64eposits/a",
                                     "/deposits",
                                     "/deposits;a/b",
                                     "/?/deposits/a",
                                     "/Deposits/a",
                                     "http://desk.example",
                                     "http://desk.example?/deposits/a",
                                     "http://desk.example//deposits/a"}) {
        rows.push_back(Row{.name = "route of " + target, .bytes = message("POST " + target + " HTTP/1.1"), .run = {}, .status = 404});
    }
    rows.push_back(Row{.name = "OPTIONS *", .bytes = message("OPTIONS * HTTP/1.1"), .run = {}, .status = 404});
    rows.push_back(Row{.name = "empty host", .bytes = message("POST /deposits/a HTTP/1.1", "Host:\r\n"), .run = {}, .status = 404});
    return rows;
}

struct Outcome
{
    std::vector<int> statuses;
    bool hasEnded = false;
    std::vector<std::string> runs;

    bool operator==(const Outcome &) const = default;
};

std::string describe(const Outcome &outcome)
{
    std::string text = outcome.hasEnded ? "ended," : "reset or open,";
    for (const int status : outcome.statuses) {
        text += " " + std::to_string(status);
    }
    for (const std::string &run : outcome.runs) {
        text += ", ran " + run;
    }
    return text;
}

/// Sends the row and a request after it, and reads until the connection ends.
Outcome play(const System &system, const Row &row, int number)
{
    const std::size_t before = system.platform.seen().size();
    std::string bytes = row.bytes;
    if (const std::size_t id = bytes.find("Request-Id: ID"); id != std::string::npos) {
        bytes.replace(id + 12, 2, "row-" + std::to_string(number));
    }
    Outcome outcome;
    RawConnection connection(system.callerAddress());
    connection.send(bytes + inner());
    const std::string received = connection.readAll();
    outcome.hasEnded = !connection.wasReset();
    for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1)) {
        // Not where a body quotes a request or names the version.
        if (const int status = std::atoi(received.substr(at + 9, 3).c_str()); status > 0) {
            outcome.statuses.push_back(status);
        }
    }
    const std::vector<SeenRequest> seen = system.platform.seen();
    for (std::size_t run = before; run < seen.size(); ++run) {
        outcome.runs.push_back(seen[run].method + " " + seen[run].target + " " + seen[run].body);
    }
    return outcome;
}

Outcome expected(const Row &row, bool isLast)
{
    Outcome outcome{.statuses = {row.status}, .hasEnded = true, .runs = {}};
    if (!row.run.empty()) {
        outcome.runs.push_back(row.run);
    }
    if (!isLast) {
        outcome.statuses.push_back(200);
        outcome.runs.emplace_back("POST /deposits/inner in");
    }
    return outcome;
}

int countFailures(const System &system, const std::vector<Row> &rows, bool isLast)
{
    int failures = 0;
    for (const Row &row : rows) {
        static int number = 0;
        const Outcome outcome = play(system, row, ++number);
        const Outcome wanted = expected(row, isLast);
        if (outcome != wanted) {
            ++failures;
            std::cerr << "row '" << row.name << "': " << describe(outcome) << "; wanted: " << describe(wanted) << "\n";
        }
    }
    return failures;
}

}

// Guards against requests that run though their caller sent them as the body of another one, and against a request that runs on a route that its path does
// not begin with: libevent decides where a body ends and which path a target has more laxly than RFC 9112, and checks came after that.
TEST_CASE("process: a request that can be read in more than one way is refused, and no byte after it runs")
{
    const System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    const std::vector<Row> rows = refusedRows();
    const int failures = countFailures(system, rows, true);
    CAPTURE(rows.size());
    CHECK(failures == 0);
}

// Guards against a strictness that refuses what RFC 9112 permits, and against a target or body that is changed on its way.
TEST_CASE("process: a request that can be read in one way is served, and the one behind it too")
{
    const System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    const std::vector<Row> rows = servedRows();
    const int failures = countFailures(system, rows, false);
    CAPTURE(rows.size());
    CHECK(failures == 0);
}

// Guards against a deposit that runs twice, since libevent took "//hall7" for a host and the rest for a path of a route whose requests may be repeated.
TEST_CASE("process: the path as the caller sent it chooses the route")
{
    const System system;
    REQUIRE(system.publish(documentOf(3)));
    REQUIRE(system.waitUntilReady());
    const std::vector<Row> rows = unroutedRows();
    const int failures = countFailures(system, rows, false);
    CAPTURE(rows.size());
    CHECK(failures == 0);
}
