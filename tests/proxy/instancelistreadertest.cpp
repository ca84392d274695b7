#include "proxy/instancelistreader.h"

#include "entry/httpserver.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace cumindyke;

namespace
{

/// Serves a list on loopback: each page is one upstream, alternately in "dc-a" and "dc-b". Refuses the pages in refusedOncePaths once.
class PagedList
{
public:
    PagedList(EventLoop &loop, int upstreams)
        : m_upstreams(upstreams)
    {
        auto door = HttpServer::listen(loop, Address{.host = "127.0.0.1", .port = 0}, std::chrono::seconds(5));
        REQUIRE(ok(door));
        m_door = std::move(valueOf(door));
        m_door->arrived().connect([this](const std::shared_ptr<Exchange> &exchange) { reply(*exchange); });
    }

    InstanceListProtocol protocol() const
    {
        return InstanceListProtocol{
            .address = Address{.host = "127.0.0.1", .port = m_door->port()},
            .target = [](const std::optional<DataCentreName> &dataCentre,
                         std::string_view page) { return "/" + (dataCentre ? dataCentre->value : "all") + "/" + (page.empty() ? "0" : std::string(page)); },
            .parse = parse,
        };
    }

    /// Answered with 429 on their first request.
    std::set<std::string> refusedOncePaths;
    std::vector<std::string> requestedPaths;

private:
    static std::string dataCentreOf(int upstream)
    {
        return upstream % 2 == 0 ? "dc-a" : "dc-b";
    }

    /// "NUMBER NEXT", or "NUMBER" for the last page.
    static Result<InstancePage> parse(std::string_view body)
    {
        const std::string text(body);
        const std::size_t space = text.find(' ');
        const int number = std::stoi(text);
        InstancePage page;
        page.instances.push_back(UpstreamInstance{.name = InstanceName{"i-" + std::to_string(number)},
                                                  .service = ServiceName{"drafts"},
                                                  .address = Address{.host = "10.0.0.1", .port = 80},
                                                  .dataCentre = DataCentreName{dataCentreOf(number)},
                                                  .version = VersionName{"v1"}});
        page.nextPageToken = space == std::string::npos ? "" : text.substr(space + 1);
        return page;
    }

    void reply(Exchange &exchange)
    {
        const std::string path = exchange.path();
        requestedPaths.push_back(path);
        if (refusedOncePaths.erase(path) > 0) {
            exchange.reply(429, "text/plain", "");
            return;
        }
        const std::size_t slash = path.rfind('/');
        const std::string part = path.substr(1, slash - 1);
        int number = std::stoi(path.substr(slash + 1));
        number += part == "dc-b" && number == 0 ? 1 : 0;
        const int next = number + (part == "all" ? 1 : 2);
        exchange.reply(200, "text/plain", std::to_string(number) + (next < m_upstreams ? " " + std::to_string(next) : ""));
    }

    const int m_upstreams;
    std::unique_ptr<HttpServer> m_door;
};

std::set<std::string> namesIn(const InstanceList &list)
{
    std::set<std::string> names;
    for (const UpstreamInstance &instance : list.instances) {
        names.insert(instance.name.value);
    }
    return names;
}

}

// Guards against VMs that start together and refuse every caller for seconds: the platform refused some pages, and each read began from the first
// page again.
TEST_CASE("a page that the platform refused is requested again, and those before it are not")
{
    EventLoop loop;
    PagedList list(loop, 2);
    list.refusedOncePaths = {"/all/1"};
    InstanceListReader reader(loop, list.protocol(), DataCentreName{"dc-a"}, std::chrono::seconds(1));
    std::vector<InstanceList> read;
    int failures = 0;
    reader.readFailed().connect([&] { ++failures; });
    reader.listRead().connect([&](const InstanceList &part) {
        read.push_back(part);
        if (namesIn(part).size() == 2) {
            loop.stop();
        }
    });
    reader.start();
    loop.run();
    CHECK(list.requestedPaths == std::vector<std::string>{"/all/0", "/all/1", "/all/1"});
    CHECK(failures == 1);
    // The first page served the requests that waited meanwhile.
    REQUIRE(read.size() == 2);
    CHECK(namesIn(read.front()) == std::set<std::string>{"i-0"});
}

TEST_CASE("a long list is read in parts: the local data centre's, and the remote ones when they are wanted")
{
    EventLoop loop;
    PagedList list(loop, 8);
    InstanceListReader reader(loop, list.protocol(), DataCentreName{"dc-a"}, std::chrono::milliseconds(50));
    reader.addDataCentre(DataCentreName{"dc-b"});
    std::map<std::string, std::set<std::string>> parts;
    reader.listRead().connect([&](const InstanceList &part) {
        if (!part.dataCentre) {
            return;
        }
        parts[part.dataCentre->value] = namesIn(part);
        if (parts.contains("dc-b")) {
            loop.stop();
        } else if (parts["dc-a"].size() == 4) {
            CHECK_FALSE(std::ranges::count(list.requestedPaths, "/dc-b/0"));
            reader.setRemoteWanted(true);
        }
    });
    reader.start();
    loop.run();
    CHECK(parts["dc-a"] == std::set<std::string>{"i-0", "i-2", "i-4", "i-6"});
    CHECK(parts["dc-b"] == std::set<std::string>{"i-1", "i-3", "i-5", "i-7"});
}

// Guards against a part of the list that counts as the whole one, and against endless calls to the platform: a page names itself as the next one.
TEST_CASE("a list whose pages go in a circle is not read as a whole")
{
    EventLoop loop;
    PagedList list(loop, 2);
    InstanceListProtocol protocol = list.protocol();
    protocol.parse = [parse = protocol.parse](std::string_view body) {
        Result<InstancePage> page = parse(body);
        if (valueOf(page).nextPageToken.empty()) {
            valueOf(page).nextPageToken = "1";
        }
        return page;
    };
    InstanceListReader reader(loop, protocol, DataCentreName{"dc-a"}, std::chrono::seconds(1));
    int complete = 0;
    reader.listRead().connect([&](const InstanceList &part) { complete += namesIn(part).size() == 2 ? 1 : 0; });
    reader.readFailed().connect([&] { loop.stop(); });
    reader.start();
    loop.run();
    CHECK(complete == 0);
    CHECK(list.requestedPaths == std::vector<std::string>{"/all/0", "/all/1"});
}
