#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Checks answers of the faulty upstream as a caller sees them. Pure: works on the bytes of connections and on the upstreams' logs.
namespace cumindyke::test
{

enum class ConnectionEnd { Open, InOrder, Reset };

/// An answer as far as its bytes have come.
struct CallerAnswer
{
    /// 0: no status line has come yet, or it is malformed.
    int status = 0;
    /// The names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    bool hasHead = false;
    /// By its framing, or by an end of the connection in order if it has none.
    bool isComplete = false;
    bool isMalformed = false;
    /// Has a length or chunks; an answer to HTTP/1.0 may end with its connection.
    bool isFramed = false;
    /// Number of the bytes that belong to this answer, when it is complete.
    std::size_t bytes = 0;
};

struct SoakRequest
{
    std::string id;
    bool isStream = false;
    bool isIdempotent = false;
    /// Number of parts of the right answer; see contentOf().
    int count = 0;
    /// digestOf() its body; empty: not checked.
    std::string body;
};

/// Name of what is wrong ("truncated", "joined", ...), and details.
struct Violation
{
    std::string kind;
    std::string id;
    std::string detail;
};

/// What one request came to.
struct SoakOutcome
{
    SoakRequest request;
    CallerAnswer answer;
    /// All of its bytes were sent.
    bool isSent = true;
};

/// Number of runs of each request, and the faults and framings of all, from the upstreams' logs.
struct RunLog
{
    void add(std::string_view lines);

    std::map<std::string, int> starts;
    std::map<std::string, std::string> faults;
    /// Requests with an answer that was sent to its end.
    std::set<std::string> whole;
    /// Requests whose last run cut a plain answer by an end in order, without a reset in time.
    std::set<std::string> unresetEnds;
    /// The upstream that made the last run.
    std::map<std::string, std::string> upstreams;
    /// Digests of the bodies of each request's runs.
    std::map<std::string, std::set<std::string>> bodies;
};

CallerAnswer parseAnswer(std::string_view bytes, ConnectionEnd end);

/// Returns what is wrong with the answer, complete or broken off, and with the bytes that came behind it on its connection.
std::vector<Violation> checkAnswer(const SoakRequest &request, const CallerAnswer &answer, std::string_view bytesBehind);

/// Returns the requests that ran although their callers were told that they did not, and those that ran more often than they may.
std::vector<Violation> checkRuns(const std::vector<SoakOutcome> &outcomes, const RunLog &log);

/// Returns the runs of requests that no caller sent, that were not sent as a whole, or whose body is not the one that was sent.
std::vector<Violation> checkAsked(const std::vector<SoakOutcome> &outcomes, const RunLog &log);

/// Whether a violation is the upstream's own and can't be told by anyone: wrong bytes in the valid framing of an answer without end, which was passed on as it
/// came and then broken off for the caller.
bool isOfEndlessAnswer(const Violation &violation, const RunLog &log);

/// Whether a violation is a plain unframed answer that was cut by an end in order, and whose upstream sent no reset in the time in which daemons promise to see
/// it: its process ran when the answer ended, so there was no sign that the end is not the answer's own.
bool isOfUnresetEnd(const Violation &violation, const RunLog &log);

/// Returns a violation for a daemon that uses more memory than the bound.
std::vector<Violation> checkMemory(const std::string &daemon, std::size_t residentKb, std::size_t boundKb);

/// Returns a violation for a daemon that ended otherwise than by its own decision or SIGKILL; the code is that of Process::wait().
std::vector<Violation> checkExit(const std::string &daemon, int code);

}
