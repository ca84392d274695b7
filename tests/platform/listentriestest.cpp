#include "platform/instancelist.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cumindyke;
using namespace cumindyke::platform;

namespace
{

std::string entry(const std::string &id, const std::string &address = "10.0.0.9:8080", const std::string &more = {})
{
    return R"({"service":"lm","address":")" + address + R"(","zone":"z-a","version":"v1","slots":6,"state":"ready",)" + more + R"("id":")" + id + R"("})";
}

/// Joined with commas.
std::string join(std::initializer_list<std::string> entries)
{
    std::string joined;
    for (const std::string &entry : entries) {
        joined.append(entry).append(",");
    }
    joined.pop_back();
    return joined;
}

std::string withMember(const std::string &member)
{
    return entry("odd", "10.0.0.8:8080", member + ",");
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

Result<InstancePage> pageOf(const std::string &entries, const std::string &end = R"(],"next":null})")
{
    return parseInstancePage(R"({"instances":[)" + entries + end);
}

std::set<std::string> namesIn(const InstancePage &page)
{
    std::set<std::string> names;
    for (const UpstreamInstance &instance : page.instances) {
        names.insert(instance.name.value);
    }
    return names;
}

/// Each names no usable upstream.
std::vector<std::pair<std::string, std::string>> oddEntries()
{
    const std::string nul(1, '\0');
    std::vector<std::pair<std::string, std::string>> odd{
        {"bytes that are not UTF-8", withMember("\"label\":\"\xff\xfe\"")},
        {"an id that is not UTF-8", entry("odd\xc3")},
        {"NaN", withMember("\"load\":NaN")},
        {"1e400", withMember("\"load\":1e400")},
        {"slots of 1e400", R"({"service":"lm","address":"10.0.0.8:1","zone":"z-a","version":"v1","slots":1e400,"state":"ready","id":"odd"})"},
        {"a number of 400 digits", withMember("\"load\":" + std::string(400, '9'))},
        {"nested 33 deep", withMember("\"x\":" + nested(33))},
        {"nested 10,000 deep", withMember("\"x\":" + nested(10'000))},
        {"nested 1,000,000 deep", withMember("\"x\":" + nested(1'000'000))},
        {"objects nested 100,000 deep", withMember("\"x\":" + repeated("{\"a\":", 100'000) + "1" + std::string(100'000, '}'))},
        {"1,000,000 brackets that are not closed", std::string(1'000'000, '[')},
        {"a control byte in a string", withMember("\"label\":\"a\nb\"")},
        {"a NUL in a string", withMember("\"label\":\"" + nul + "\"")},
        {"a lone surrogate", withMember(R"("label":"\ud800")")},
        {"no JSON", "runner i-9 at 10.0.0.8"},
        {"nothing", ""},
        {"null", "null"},
        {"a list", "[1,[2]]"},
        {"random bytes", "\x80\x01\x02\xf5\xff"},
        {"a bracket too few", R"({"id":"odd","models":[{"name":"m"},{"name":"n"})"},
        {"a bracket too many", entry("odd") + "}"},
        {"a list that ends too early", entry("odd") + "]"},
        {"a bracket of the other kind", R"({"id":"odd","models":[1}})"},
        {"a string that does not end", R"({"id":"odd)"},
        {"a backslash before the quote", R"({"id":"odd\"})"},
        {"port 0", entry("odd", "10.0.0.8:0")},
        {"port 65536", entry("odd", "10.0.0.8:65536")},
        {"port -1", entry("odd", "10.0.0.8:-1")},
        {"port 99999999999", entry("odd", "10.0.0.8:99999999999")},
        {"no port", entry("odd", "10.0.0.8")},
        {"the address of no host", entry("odd", "0.0.0.0:8080")},
        {"a multicast address", entry("odd", "224.0.0.1:8080")},
        {"a reserved address", entry("odd", "240.0.0.1:8080")},
        {"the broadcast address", entry("odd", "255.255.255.255:8080")},
        {"an address with a NUL", entry("odd", "10.0.0.8\\u0000:8080")},
        {"an id with a line break", entry(R"(odd\r\nConnection: close)")},
        {"an id with a NUL", entry(R"(odd\u0000)")},
        {"an id with a space at its end", entry("odd ")},
        {"an id of 1 MB", entry(std::string(1 << 20, 'i'))},
        {"another state", R"({"service":"lm","address":"10.0.0.8:1","zone":"z-a","version":"v1","slots":6,"state":"resting","id":"odd"})"},
    };
    for (const char *field : {"service", "zone", "version"}) {
        const std::string sound = entry("odd");
        const std::size_t value = sound.find(std::string("\"") + field + "\":\"") + std::string(field).size() + 4;
        odd.emplace_back(std::string("a line break in the ") + field, sound.substr(0, value) + R"(\r\nX: y)" + sound.substr(value));
        odd.emplace_back(std::string("1 MB in the ") + field, sound.substr(0, value) + std::string(1 << 20, 'v') + sound.substr(value));
    }
    return odd;
}

}

// Guards against machines that keep an old list since one entry of another writer can't be parsed, and against an entry that is used though no upstream
// can be there, or whose name breaks the head of a request.
TEST_CASE("an odd entry is passed over at each place of the list, and its neighbours hold")
{
    const std::string a = entry("i-a", "10.0.0.1:1");
    const std::string b = entry("i-b", "10.0.0.2:1");
    const std::set<std::string> sound{"i-a", "i-b"};
    for (const auto &[what, odd] : oddEntries()) {
        for (const std::string &entries : {join({odd, a, b}), join({a, odd, b}), join({a, b, odd}), join({odd, a, odd, b})}) {
            CAPTURE(what);
            const Result<InstancePage> page = pageOf(entries);
            REQUIRE(ok(page));
            CHECK(namesIn(valueOf(page)) == sound);
        }
    }
}

// Guards against sound upstreams that are given up, since a part of the list is taken for all of it.
TEST_CASE("a page that was cut off is refused, wherever the cut is")
{
    const std::string model = R"("models":[{"name":"m","adapters":[{"a":1},{"b":2}]},{"name":"n"}],)";
    const std::string second = entry("i-b", "10.0.0.2:1", model);
    for (const std::string &entries : {join({entry("i-a"), second}), join({entry("i-a"), R"({"id":"odd","models":[)", second})}) {
        for (const std::string end : {R"(],"next":null})", R"(],"next":"p-50"})", R"( ] , "more":[{"next":null}], "next" : null } )"}) {
            std::string whole = R"({"instances":[)";
            whole.append(entries).append(end);
            REQUIRE(ok(parseInstancePage(whole)));
            const std::size_t lastByte = whole.find_last_not_of(' ');
            for (std::size_t length = 0; length <= lastByte; ++length) {
                CAPTURE(whole.substr(0, length));
                CHECK_FALSE(ok(parseInstancePage(whole.substr(0, length))));
            }
        }
    }
}

// Guards against a list that ends at a page of which nobody knows whether another one follows.
TEST_CASE("a page whose next page can't be read is refused")
{
    const std::string sound = entry("i-a");
    for (const std::string &end : std::vector<std::string>{
             "]}",
             R"(],"next":7})",
             R"(],"next":[]})",
             R"(],"next":nul})",
             R"(],"next":})",
             "],\"next\":\"\xff\"}",
             R"(],"next":"a\u0000b"})",
             R"(],"next":"a\r\nb"})",
             R"(],"next":")" + std::string(1 << 20, 'p') + R"("})",
             R"(],"next":)" + nested(1'000'000) + "}",
             R"(],"next":null,"next":"p-50"})",
             R"(],"next":null} {)",
             R"(],"next":null,"instances":[]})",
         }) {
        CAPTURE(end.substr(0, 80));
        CHECK_FALSE(ok(pageOf(sound, end)));
    }
    CHECK(valueOf(pageOf(sound, R"(],"next":"p-50"})")).nextPageToken == "p-50");
    CHECK(valueOf(parseInstancePage(R"({"next":"p-50","instances":[]})")).nextPageToken == "p-50");
}

// Guards against a process that is busy, or out of memory, with one page.
TEST_CASE("a page of 4 MB of brackets, commas or quotes is read in bounded time")
{
    constexpr std::size_t PageBytes = 4U << 20;
    for (const std::string part : {"[", "{", ",", ",{", "\"", "]", ",{}", "},{", "\\", "[]},{", "{\"a\":[{},{"}) {
        CAPTURE(part);
        const std::string filler = repeated(part, PageBytes / part.size());
        const Result<InstancePage> page = pageOf(entry("i-a") + "," + filler);
        CHECK((!ok(page) || namesIn(valueOf(page)) == std::set<std::string>{"i-a"}));
        const Result<InstancePage> torn = pageOf(entry("i-a") + "," + filler, "");
        CHECK_FALSE(ok(torn));
    }
}

// Guards against two entries of one process that hide it: the list may show an upstream and its successor, and a page that is read later may repeat one.
TEST_CASE("an id that is listed twice and an address that two entries claim are left to the pool")
{
    const Result<InstancePage> page = pageOf(entry("i-a", "10.0.0.1:1") + "," + entry("i-a", "10.0.0.2:1") + "," + entry("i-b", "10.0.0.1:1"));
    REQUIRE(ok(page));
    CHECK(valueOf(page).instances.size() == 3);
}
