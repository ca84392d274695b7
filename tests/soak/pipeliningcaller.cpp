#include "soak/pipeliningcaller.h"

#include "faultyupstream/soakcontent.h"
#include "support/soaksocket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <thread>

namespace cumindyke::test
{

namespace
{

/// Longer than the deadlines of all requests of a pipeline, which run one after the other.
constexpr std::chrono::seconds AnswerTimeout{30};
constexpr std::size_t MaxBodyBytes = 400;

std::size_t below(std::mt19937_64 &random, std::size_t bound)
{
    return random() % bound;
}

/// Bytes that some reader could take for the end of a body and another request.
std::string bodyOf(const std::string &id, std::mt19937_64 &random)
{
    const std::string looksLikeRequest = "0\r\n\r\nPOST /deposits/plain/1 HTTP/1.1\r\nHost: desk.example\r\nCumindyke-Request-Id: inner-" + id
        + "\r\nCumindyke-Deadline-Ms: 4000\r\nCumindyke-Key: key-1\r\nContent-Length: 0\r\n\r\n";
    std::string body;
    const std::size_t bytes = below(random, 3) == 0 ? 0 : below(random, MaxBodyBytes);
    while (body.size() < bytes) {
        body += looksLikeRequest;
    }
    return body.substr(0, bytes);
}

std::string inChunks(std::string_view body, std::mt19937_64 &random)
{
    std::string bytes;
    while (!body.empty()) {
        const std::string_view data = body.substr(0, 1 + below(random, body.size()));
        body.remove_prefix(data.size());
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), below(random, 2) == 0 ? "%zx" : "%04zX", data.size());
        bytes.append(size.data()).append(below(random, 3) == 0 ? ";ext=\"a;b\"" : "").append("\r\n").append(data).append("\r\n");
    }
    return bytes + (below(random, 3) == 0 ? "0;last\r\nDigest: x\r\n\r\n" : "0\r\n\r\n");
}

std::string headOf(const std::string &route, const SoakRequest &request, std::mt19937_64 &random)
{
    const std::string blank = below(random, 4) == 0 ? "\t" : " ";
    std::string head = below(random, 5) == 0 ? "\r\n" : "";
    head.append("POST ").append(below(random, 8) == 0 ? "http://desk.example" : "");
    head.append("/").append(route).append(request.isStream ? "/events/" : "/plain/").append(std::to_string(request.count));
    head.append(" HTTP/1.1\r\nHost:").append(blank).append("desk.example\r\nCumindyke-Request-Id: ").append(request.id);
    return head.append("\r\nCumindyke-Deadline-Ms:").append(blank).append("4000\r\nCumindyke-Key: key-1\r\n");
}

/// Forms that have more than one reading; each is followed by a request that must not run.
std::string refusedForm(const std::string &id, std::mt19937_64 &random)
{
    const std::string head = "POST /deposits/plain/1 HTTP/1.1\r\nHost: desk.example\r\nCumindyke-Request-Id: refused-" + id
        + "\r\nCumindyke-Deadline-Ms: 4000\r\nCumindyke-Key: key-1\r\n";
    const std::string inner = "POST /deposits/plain/1 HTTP/1.1\r\nHost: desk.example\r\nCumindyke-Request-Id: behind-" + id
        + "\r\nCumindyke-Deadline-Ms: 4000\r\nCumindyke-Key: key-1\r\n\r\n";
    const std::string length = std::to_string(inner.size());
    const std::array<std::string, 8> forms{"Content-Length: 0\r\nContent-Length: " + length + "\r\n\r\n",
                                           "Content-Length : " + length + "\r\n\r\n",
                                           "Content-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                                           "Content-Length: 0\nX: y\r\n\r\n",
                                           "X: y\r\n folded\r\n\r\n",
                                           "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                                           "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
                                           "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n-1\r\n\r\n"};
    return head + forms[below(random, forms.size())] + inner;
}

}

Pipeline makePipeline(const std::string &idPrefix, std::mt19937_64 &random)
{
    struct Route
    {
        const char *name;
        bool isStream;
        bool isIdempotent;
    };
    constexpr std::array<Route, 4> Routes{{{"lookups", false, true}, {"deposits", false, false}, {"drafts", true, false}, {"texts", true, true}}};
    Pipeline pipeline;
    const std::size_t count = 2 + below(random, 5);
    for (std::size_t number = 0; number < count; ++number) {
        const Route &route = Routes[below(random, Routes.size())];
        SoakRequest request{.id = idPrefix + "-" + std::to_string(number),
                            .isStream = route.isStream,
                            .isIdempotent = route.isIdempotent,
                            .count = 1 + static_cast<int>(below(random, 4))};
        const std::string body = bodyOf(request.id, random);
        request.body = digestOf(body);
        pipeline.bytes += headOf(route.name, request, random);
        if (below(random, 6) == 0) {
            pipeline.bytes += "Expect: 100-continue\r\n";
        }
        if (below(random, 2) == 0) {
            pipeline.bytes += "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body, random);
        } else {
            const std::string zeros = below(random, 3) == 0 ? "00" : "";
            pipeline.bytes.append("Content-Length: ").append(zeros).append(std::to_string(body.size())).append("\r\n\r\n").append(body);
        }
        pipeline.items.push_back(Pipeline::Item{.request = request, .end = pipeline.bytes.size()});
    }
    pipeline.endsRefused = below(random, 3) == 0;
    if (pipeline.endsRefused) {
        pipeline.bytes += refusedForm(idPrefix, random);
    }
    return pipeline;
}

PipeliningCaller::PipeliningCaller(std::vector<Address> entryVms, std::string prefix, std::uint64_t seed, bool isStrict, SoakRecord &record)
    : m_entryVms(std::move(entryVms))
    , m_prefix(std::move(prefix))
    , m_random(seed)
    , m_isStrict(isStrict)
    , m_record(record)
{
}

PipeliningCaller::~PipeliningCaller()
{
    closeSocket(m_socket);
}

void PipeliningCaller::run(const std::atomic<bool> &stop)
{
    while (!stop) {
        if (m_socket < 0) {
            m_entryVm = m_entryVms[below(m_random, m_entryVms.size())];
            m_socket = connectTo(m_entryVm);
            m_received.clear();
            m_hasReceived = false;
            m_isSendReset = false;
            m_end = ConnectionEnd::Open;
        }
        if (m_socket < 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        play(makePipeline(m_prefix + "-" + std::to_string(++m_number), m_random));
        if (below(m_random, 8) == 0) {
            closeSocket(m_socket);
        }
    }
}

void PipeliningCaller::report(const Violation &violation)
{
    const std::lock_guard lock(m_record.mutex);
    m_record.violations.push_back(violation);
}

void PipeliningCaller::play(const Pipeline &pipeline)
{
    m_answers.clear();
    m_refusal.reset();
    m_isBroken = false;
    const bool leaves = below(m_random, 8) == 0;
    const std::size_t sent = sendCut(pipeline, leaves);
    const auto deadline = std::chrono::steady_clock::now() + AnswerTimeout;
    const std::size_t expected = pipeline.items.size();
    const auto isDone = [&] { return m_isBroken || (m_answers.size() == expected && (!pipeline.endsRefused || m_end != ConnectionEnd::Open)); };
    while (!leaves && !isDone() && m_end == ConnectionEnd::Open && std::chrono::steady_clock::now() < deadline) {
        receive(std::chrono::milliseconds(100));
        takeAnswers(pipeline);
    }
    takeAnswers(pipeline);
    const bool hasTimedOut = !leaves && !isDone() && m_end == ConnectionEnd::Open;
    // An entry VM whose loop is late resets connections that it has not accepted. The requests on them must not run.
    const bool isRefused = m_isStrict && !leaves && !m_hasReceived && m_end == ConnectionEnd::Reset;
    if (isRefused) {
        const std::lock_guard lock(m_record.mutex);
        ++m_record.refusedConnections[m_entryVm.host];
    }
    for (std::size_t number = 0; number < expected; ++number) {
        const Pipeline::Item &item = pipeline.items[number];
        const CallerAnswer answer = number < m_answers.size() ? m_answers[number] : CallerAnswer{};
        if (m_isStrict && !leaves && !m_isBroken && !isRefused && number >= m_answers.size()) {
            report({"unanswered", item.request.id, hasTimedOut ? "no answer in time" : "the connection ended"});
        }
        const std::lock_guard lock(m_record.mutex);
        m_record.unanswered += hasTimedOut && number >= m_answers.size() ? 1 : 0;
        m_record.outcomes.push_back({.request = item.request, .answer = answer, .isSent = item.end <= sent && !isRefused});
    }
    if (pipeline.endsRefused && !leaves && m_answers.size() == expected && !m_isBroken) {
        if (!m_refusal || m_refusal->status != 400 || !m_refusal->isComplete || m_end == ConnectionEnd::Open) {
            const std::string status = m_refusal ? std::to_string(m_refusal->status) : "no answer";
            const std::string end = m_end == ConnectionEnd::Open ? ", and the connection is open" : "";
            if (m_isStrict || m_refusal) {
                report({"not-refused", "refused-" + pipeline.items.back().request.id, status + end});
            }
        }
    }
    if (leaves || pipeline.endsRefused || m_isBroken || m_end != ConnectionEnd::Open || m_answers.size() < expected) {
        closeSocket(m_socket);
    }
}

std::size_t PipeliningCaller::sendCut(const Pipeline &pipeline, bool leaves)
{
    const std::size_t length = leaves ? below(m_random, pipeline.bytes.size()) : pipeline.bytes.size();
    const std::size_t longestPiece = 1 + below(m_random, 2) * 30 + below(m_random, 2) * 600;
    std::size_t at = 0;
    while (at < length && m_end == ConnectionEnd::Open) {
        const std::size_t piece = std::min(length - at, longestPiece == 1 ? 200 : 1 + below(m_random, longestPiece));
        const ssize_t got = send(m_socket, pipeline.bytes.data() + at, piece, MSG_NOSIGNAL);
        if (got <= 0) {
            m_isSendReset = errno == ECONNRESET || errno == EPIPE;
            break;
        }
        at += static_cast<std::size_t>(got);
        // Most pauses are about as long as an answer takes.
        const std::size_t pause = below(m_random, 4);
        if (pause < 2) {
            std::this_thread::sleep_for(std::chrono::microseconds(below(m_random, pause == 0 ? 200 : 4000)));
        }
        receive(std::chrono::milliseconds(0));
        takeAnswers(pipeline);
    }
    return at;
}

void PipeliningCaller::receive(std::chrono::milliseconds wait)
{
    std::array<char, 16 << 10> buffer{};
    setReceiveTimeout(m_socket, wait);
    const ssize_t got = recv(m_socket, buffer.data(), buffer.size(), wait.count() == 0 ? MSG_DONTWAIT : 0);
    if (got > 0) {
        m_received.append(buffer.data(), static_cast<std::size_t>(got));
        m_hasReceived = true;
    } else if (got == 0) {
        m_end = m_isSendReset ? ConnectionEnd::Reset : ConnectionEnd::InOrder;
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
        m_end = ConnectionEnd::Reset;
    }
}

void PipeliningCaller::takeAnswers(const Pipeline &pipeline)
{
    while (!m_received.empty() && !m_isBroken) {
        const CallerAnswer answer = parseAnswer(m_received, m_end);
        if (answer.status == 100 && answer.hasHead) {
            m_received.erase(0, m_received.find("\r\n\r\n") + 4);
            continue;
        }
        const std::size_t number = m_answers.size();
        if (number == pipeline.items.size()) {
            if (m_refusal || !pipeline.endsRefused) {
                report({"bytes-behind", pipeline.items.back().request.id, m_received.substr(0, 80)});
                m_isBroken = true;
                return;
            }
            if (!answer.isComplete && m_end == ConnectionEnd::Open) {
                return;
            }
            m_refusal = answer;
            m_received.erase(0, answer.isComplete ? answer.bytes : m_received.size());
            continue;
        }
        if (!answer.isComplete && !answer.isMalformed && m_end == ConnectionEnd::Open) {
            return;
        }
        // What is behind it belongs to the next request.
        for (const Violation &violation : checkAnswer(pipeline.items[number].request, answer, {})) {
            report(violation);
        }
        if (!answer.isComplete) {
            if (m_isStrict) {
                report({"unanswered", pipeline.items[number].request.id, "the answer was broken off"});
            }
            m_isBroken = true;
            return;
        }
        m_received.erase(0, answer.bytes);
        const auto connection = answer.headers.find("connection");
        m_isBroken = connection != answer.headers.end() && connection->second == "close";
        m_answers.push_back(answer);
    }
}

}
