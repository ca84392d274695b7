#include "fakeplatform/rawupstream.h"
#include "proxy/entryvmtasks.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

#include <array>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

using End = RawUpstream::End;

constexpr int UpstreamCount = 6;
constexpr int CallerCount = 12;
constexpr std::array Ends{End::Closed, End::Reset, End::Never};
/// "ID" stands for the request's id.
const std::vector<std::string> Heads{
    "HTTP/1.1 200 OK\r\nCumindyke-Request-Id: ID\r\nCumindyke-Runner-Seal: seal\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nCumindyke-Request-Id: ID\r\nCumindyke-Runner-Seal: seal\r\n\r\n",
};

enum class Caller { Http11, Http10, Head };

struct Case
{
    Caller caller = Caller::Http11;
    std::size_t head = 0;
    std::size_t length = 0;
    End end = End::Closed;
};

std::vector<Case> allCases()
{
    std::vector<Case> cases;
    for (const Caller caller : {Caller::Http11, Caller::Http10, Caller::Head}) {
        for (std::size_t head = 0; head < Heads.size(); ++head) {
            for (std::size_t length = 1 + static_cast<std::size_t>(caller); length < Heads[head].size(); length += 9) {
                for (const End end : Ends) {
                    cases.push_back({.caller = caller, .head = head, .length = length, .end = end});
                }
            }
        }
    }
    return cases;
}

/// Upstreams that cut off each answer within its head as the request's target says, and remember which cases they have played.
class CuttingUpstreams
{
public:
    explicit CuttingUpstreams(Cut cut)
        : vms(2, 0)
    {
        // Requests that get no answer keep their slots until their deadline.
        vms.platform.setSlots(2 * CallerCount);
        for (int number = 1; number <= UpstreamCount; ++number) {
            m_upstreams.push_back(std::make_unique<RawUpstream>(vms.network.host(FirstPlatformHost + number)));
            m_upstreams.back()->setAnswers([this](const std::string &head) { return answerTo(head); });
            vms.platform.addUpstream("i-" + std::to_string(number), m_upstreams.back()->address());
        }
        vms.cuts[0] = cut;
        REQUIRE(eventually([this] { return vms.request(0, "start").body == "whole"; }));
    }

    /// Returns the bytes that the caller got.
    std::string play(const Case &cutCase, const std::string &id) const
    {
        RawConnection connection(vms.callerAddress(0));
        const std::string target
            = "/deposits/cut." + std::to_string(cutCase.head) + ":" + std::to_string(cutCase.length) + ":" + std::to_string(static_cast<int>(cutCase.end));
        connection.send((cutCase.caller == Caller::Head ? "HEAD " : "POST ") + target + (cutCase.caller == Caller::Http10 ? " HTTP/1.0" : " HTTP/1.1")
                        + "\r\nHost: desk.example\r\nCumindyke-Request-Id: " + id
                        + "\r\nCumindyke-Key: key-1\r\nCumindyke-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return connection.readAll();
    }
    bool wasPlayed(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        return m_played.contains(id);
    }

    EntryVmTasks vms;

private:
    RawUpstream::Answer answerTo(const std::string &head)
    {
        constexpr std::string_view IdHeader = "Cumindyke-Request-Id: ";
        const std::size_t idBegin = head.find(IdHeader) + IdHeader.size();
        const std::string id = head.substr(idBegin, head.find('\r', idBegin) - idBegin);
        const std::size_t cut = head.find("/cut.");
        if (cut == std::string::npos) {
            return {.contentType = "text/plain", .body = "whole", .moreHeaders = "Content-Length: 5\r\n"};
        }
        const std::size_t length = head.find(':', cut) + 1;
        const std::size_t end = head.find(':', length) + 1;
        std::string whole = Heads.at(std::stoul(head.substr(cut + 5)));
        whole.replace(whole.find("ID\r"), 2, id);
        {
            const std::lock_guard lock(m_mutex);
            m_played.insert(id);
        }
        return {.contentType = {},
                .body = {},
                .end = static_cast<End>(std::stoi(head.substr(end))),
                .raw = whole.substr(0, std::min<std::size_t>(std::stoul(head.substr(length)), whole.size() - 1))};
    }

    mutable std::mutex m_mutex;
    std::set<std::string> m_played;
    std::vector<std::unique_ptr<RawUpstream>> m_upstreams;
};

}

// Guards against a success with an empty or short body for an answer whose upstream stopped within its head: the last byte differs from case to case, and the
// connection ends in order, by a reset, or not at all, with and without a relay.
TEST_CASE("no caller gets a success for an answer that is cut off within its head")
{
    for (const Cut cut : {Cut::None, Cut::Refused}) {
        CuttingUpstreams upstreams(cut);
        const std::vector<Case> cases = allCases();
        std::atomic<std::size_t> next = 0;
        std::atomic<int> played = 0;
        std::mutex mutex;
        std::vector<std::string> wrong;
        std::vector<std::thread> callers;
        for (int caller = 0; caller < CallerCount; ++caller) {
            callers.emplace_back([&] {
                for (std::size_t number = next++; number < cases.size(); number = next++) {
                    // A request that no upstream got, for example since all are avoided after the failures, is sent again.
                    const TimePoint giveUpAt = EventLoop::now() + std::chrono::seconds(20);
                    for (int attempt = 0; EventLoop::now() < giveUpAt; ++attempt) {
                        const std::string id = "cut-" + std::to_string(number) + "-" + std::to_string(attempt);
                        const std::string received = upstreams.play(cases[number], id);
                        const bool isSuccess = received.size() > 9 && received.starts_with("HTTP/1.") && received[9] == '2';
                        if (isSuccess) {
                            const std::lock_guard lock(mutex);
                            wrong.push_back(std::to_string(number) + ": " + received);
                        }
                        if (upstreams.wasPlayed(id)) {
                            ++played;
                            break;
                        }
                        upstreams.vms.isServed(0, "sound-" + id);
                    }
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CAPTURE(static_cast<int>(cut), wrong);
        CHECK(wrong.empty());
        CHECK(played.load() == static_cast<int>(cases.size()));
    }
}
