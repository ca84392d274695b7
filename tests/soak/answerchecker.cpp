#include "soak/answerchecker.h"

#include "faultyupstream/soakcontent.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <csignal>
#include <optional>
#include <set>
#include <sstream>

namespace cumindyke::test
{

namespace
{

/// What the daemon may answer to a well-formed request that has a route and a key.
const std::set<int> SensibleStatuses{200, 408, 421, 429, 500, 502, 503, 504};
/// These promise that the request did not run.
const std::set<int> NotRunStatuses{408, 421, 429, 503};

std::optional<std::size_t> parseSize(std::string_view text, int base)
{
    std::size_t number = 0;
    const auto [end, errorCode] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return errorCode == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(number) : std::nullopt;
}

/// Reads chunks from "at" on, up to the last one, which has no trailers.
void parseChunks(std::string_view bytes, std::size_t at, CallerAnswer &answer)
{
    while (true) {
        const std::size_t endOfSize = bytes.find("\r\n", at);
        if (endOfSize == std::string_view::npos) {
            return;
        }
        const std::optional<std::size_t> size = parseSize(bytes.substr(at, endOfSize - at), 16);
        if (!size) {
            answer.isMalformed = true;
            return;
        }
        const std::string_view data = bytes.substr(endOfSize + 2, *size);
        answer.body += data;
        at = endOfSize + 2 + *size;
        if (data.size() < *size || bytes.size() < at + 2) {
            return;
        }
        if (bytes.substr(at, 2) != "\r\n") {
            answer.isMalformed = true;
            return;
        }
        at += 2;
        if (*size == 0) {
            answer.isComplete = true;
            answer.bytes = at;
            return;
        }
    }
}

bool parseHead(std::string_view head, CallerAnswer &answer)
{
    if (!head.starts_with("HTTP/1.") || head.size() < 13 || head[8] != ' ') {
        return false;
    }
    const std::optional<std::size_t> status = parseSize(head.substr(9, 3), 10);
    answer.status = static_cast<int>(status.value_or(0));
    std::istringstream lines{std::string(head)};
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line) && line != "\r") {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        answer.headers[name] = line.substr(value, line.find('\r') - value);
    }
    return status.has_value();
}

/// The first number in the text, or 0.
int numberIn(std::string_view text)
{
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Names the difference at the first event or line that is not the one expected.
std::string kindOfDifference(const SoakRequest &request, std::string_view body, std::size_t whole)
{
    const std::string_view rest = body.substr(whole);
    if (rest.find("HTTP/1.") != std::string_view::npos) {
        return "joined";
    }
    const int next = static_cast<int>(std::ranges::count(body.substr(0, whole), '\n')) / (request.isStream ? 3 : 1) + 1;
    const std::string partOf = request.id + " part ";
    const std::size_t own = rest.find(partOf);
    const std::size_t any = rest.find(" part ");
    if (any == std::string_view::npos) {
        return "wrong-bytes";
    }
    if (own == std::string_view::npos || own + request.id.size() != any) {
        return "foreign-body";
    }
    const int number = numberIn(rest.substr(own + partOf.size()));
    return number < next ? "repeated-part" : number > next ? "missing-part" : "wrong-bytes";
}

void checkBody(const SoakRequest &request, const CallerAnswer &answer, std::vector<Violation> &found)
{
    const std::string expected = contentOf(request.isStream, request.id, request.count);
    if (expected.starts_with(answer.body)) {
        if (answer.isComplete && answer.body.size() < expected.size()) {
            found.push_back({answer.isFramed ? "truncated" : "truncated-http10",
                             request.id,
                             std::to_string(answer.body.size()) + " of " + std::to_string(expected.size()) + " bytes"});
        }
        return;
    }
    const auto differs = static_cast<std::size_t>(std::ranges::mismatch(answer.body, expected).in1 - answer.body.begin());
    const std::size_t endOfPart = expected.rfind(request.isStream ? "\n\n" : "\n", differs == 0 ? 0 : differs - 1);
    const std::size_t whole = endOfPart == std::string::npos || differs == 0 ? 0 : endOfPart + (request.isStream ? 2 : 1);
    // "rfind" may find an end that begins before the difference and reaches over it.
    const std::size_t begin = std::min(whole, differs);
    found.push_back({kindOfDifference(request, answer.body, begin),
                     request.id,
                     (answer.isComplete ? "complete, at byte " : "broken off, at byte ") + std::to_string(differs) + ": " + answer.body.substr(begin, 80)});
}

}

void RunLog::add(std::string_view lines)
{
    std::istringstream text{std::string(lines)};
    for (std::string line; std::getline(text, line);) {
        std::istringstream words(line);
        std::string event;
        std::string id;
        std::string upstream;
        std::string fault;
        std::string framing;
        std::string body;
        words >> event >> id >> upstream >> fault >> framing >> body;
        if (event == "start") {
            starts[id] += 1;
            if (body != "-") {
                bodies[id].insert(body);
            }
            unresetEnds.erase(id);
            upstreams[id] = upstream;
            std::string &faultsOfRuns = faults[id];
            faultsOfRuns.append(faultsOfRuns.empty() ? "" : "+").append(fault).append("/").append(framing);
        } else if (event == "whole") {
            whole.insert(id);
        } else if (event == "fin" && upstreams[id] == upstream) {
            unresetEnds.insert(id);
        } else if (event == "reset" && upstreams[id] == upstream) {
            unresetEnds.erase(id);
        }
    }
}

CallerAnswer parseAnswer(std::string_view bytes, ConnectionEnd end)
{
    CallerAnswer answer;
    const std::size_t endOfHead = bytes.find("\r\n\r\n");
    if (endOfHead == std::string_view::npos) {
        answer.isMalformed = !bytes.empty() && !bytes.substr(0, 7).starts_with(std::string_view("HTTP/1.").substr(0, std::min<std::size_t>(bytes.size(), 7)));
        return answer;
    }
    answer.hasHead = true;
    if (!parseHead(bytes.substr(0, endOfHead + 4), answer)) {
        answer.isMalformed = true;
        return answer;
    }
    const std::size_t bodyBegin = endOfHead + 4;
    const auto length = answer.headers.find("content-length");
    answer.isFramed = answer.headers.contains("transfer-encoding") || length != answer.headers.end();
    if (answer.headers.contains("transfer-encoding")) {
        parseChunks(bytes, bodyBegin, answer);
    } else if (length != answer.headers.end()) {
        const std::size_t bodyBytes = parseSize(length->second, 10).value_or(0);
        answer.body = bytes.substr(bodyBegin, bodyBytes);
        answer.isComplete = answer.body.size() == bodyBytes;
        answer.bytes = bodyBegin + answer.body.size();
    } else {
        answer.body = bytes.substr(bodyBegin);
        answer.isComplete = end == ConnectionEnd::InOrder;
        answer.bytes = bytes.size();
    }
    return answer;
}

std::vector<Violation> checkAnswer(const SoakRequest &request, const CallerAnswer &answer, std::string_view bytesBehind)
{
    std::vector<Violation> found;
    if (answer.isMalformed) {
        found.push_back({"malformed", request.id, "status " + std::to_string(answer.status)});
        return found;
    }
    if (!answer.hasHead) {
        return found;
    }
    if (!SensibleStatuses.contains(answer.status)) {
        found.push_back({"status", request.id, std::to_string(answer.status)});
    }
    const auto echoed = answer.headers.find("cumindyke-request-id");
    if (echoed != answer.headers.end() && echoed->second != request.id) {
        found.push_back({"foreign-id", request.id, "id " + echoed->second});
    }
    if (answer.status >= 200 && answer.status < 300) {
        if (echoed == answer.headers.end() || !answer.headers.contains("cumindyke-runner-seal")) {
            found.push_back({"unproved", request.id, "a success without the upstream's proof or the request's id"});
        }
        checkBody(request, answer, found);
    }
    if (answer.isComplete && !bytesBehind.empty()) {
        found.push_back({"bytes-behind", request.id, std::string(bytesBehind.substr(0, 80))});
    }
    return found;
}

std::vector<Violation> checkRuns(const std::vector<SoakOutcome> &outcomes, const RunLog &log)
{
    std::vector<Violation> found;
    for (const SoakOutcome &outcome : outcomes) {
        const auto starts = log.starts.find(outcome.request.id);
        const int runs = starts == log.starts.end() ? 0 : starts->second;
        if (NotRunStatuses.contains(outcome.answer.status) && runs > 0) {
            found.push_back({"not-run-ran", outcome.request.id, "status " + std::to_string(outcome.answer.status) + ", runs " + std::to_string(runs)});
        }
        if (!outcome.request.isIdempotent && runs > 1) {
            found.push_back({"ran-twice", outcome.request.id, "runs " + std::to_string(runs)});
        }
    }
    return found;
}

std::vector<Violation> checkAsked(const std::vector<SoakOutcome> &outcomes, const RunLog &log)
{
    std::vector<Violation> found;
    std::map<std::string, const SoakOutcome *> asked;
    for (const SoakOutcome &outcome : outcomes) {
        asked[outcome.request.id] = &outcome;
    }
    for (const auto &[id, runs] : log.starts) {
        const auto outcome = asked.find(id);
        if (outcome == asked.end() || !outcome->second->isSent) {
            found.push_back({outcome == asked.end() ? "unasked" : "ran-in-part", id, "runs " + std::to_string(runs)});
            continue;
        }
        const std::string &sent = outcome->second->request.body;
        const auto ran = log.bodies.find(id);
        if (!sent.empty() && ran != log.bodies.end() && ran->second != std::set<std::string>{sent}) {
            found.push_back({"altered-body", id, "sent " + sent + ", ran " + *ran->second.begin()});
        }
    }
    return found;
}

bool isOfEndlessAnswer(const Violation &violation, const RunLog &log)
{
    const auto faults = log.faults.find(violation.id);
    return violation.kind == "wrong-bytes" && violation.detail.starts_with("broken off") && faults != log.faults.end()
        && faults->second.find("endless/") != std::string::npos;
}

bool isOfUnresetEnd(const Violation &violation, const RunLog &log)
{
    const auto faults = log.faults.find(violation.id);
    return violation.kind.starts_with("truncated") && log.unresetEnds.contains(violation.id) && faults != log.faults.end()
        && faults->second.ends_with("/unframed");
}

std::vector<Violation> checkMemory(const std::string &daemon, std::size_t residentKb, std::size_t boundKb)
{
    return residentKb > boundKb ? std::vector<Violation>{{"memory", daemon, std::to_string(residentKb) + " KB"}} : std::vector<Violation>{};
}

std::vector<Violation> checkExit(const std::string &daemon, int code)
{
    return code != 0 && code != 128 + SIGKILL ? std::vector<Violation>{{"crash", daemon, "exit code " + std::to_string(code)}} : std::vector<Violation>{};
}

}
