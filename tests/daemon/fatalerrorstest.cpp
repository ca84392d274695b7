#include "common/fatalerrors.h"
#include "common/eventloop.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

#include <event2/event.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

struct End
{
    int status = 0;
    std::string lines;
};

/// Runs the function in a child process that reports fatal errors to the file.
End endOf(const std::string &file, const std::function<void()> &function)
{
    const pid_t child = fork();
    if (child == 0) {
        close(STDOUT_FILENO);
        reportFatalErrors(file);
        noteInput(-1, "reading-request");
        function();
        _exit(0);
    }
    End end;
    waitpid(child, &end.status, 0);
    std::ifstream stream(file);
    end.lines.assign(std::istreambuf_iterator<char>(stream), {});
    return end;
}

}

// Guards against a process that ends without a word: an operator sees a restart and nothing that tells which connection or library made it.
TEST_CASE("a process that can't go on says why, what it read last, and is counted")
{
    const TemporaryFolder folder;
    const std::string file = folder.file("fatal-errors");
    CHECK(countFatalErrors(file) == 0);
    const std::function<void()> fails = [] { throw std::runtime_error("no \"such\" member"); };
    const End thrown = endOf(file, [&fails]() noexcept { fails(); });
    CHECK(WIFSIGNALED(thrown.status));
    CHECK(thrown.lines.find("change=process-ends why=\"no 'such' member\" connection=-1 peer=none state=reading-request\n") != std::string::npos);
    const End aborted = endOf(file, [] { std::abort(); });
    CHECK(WIFSIGNALED(aborted.status));
    CHECK(aborted.lines.find("why=\"abort() was called\"") != std::string::npos);
    // libevent refuses this once there is a loop.
    const End fatal = endOf(file, [] {
        const EventLoop loop;
        event_enable_debug_mode();
    });
    CHECK(WEXITSTATUS(fatal.status) == EXIT_FAILURE);
    CHECK(fatal.lines.find("why=\"event_enable_debug_mode") != std::string::npos);
    CHECK(countFatalErrors(file) == 3);
}
