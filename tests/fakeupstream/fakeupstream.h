#pragma once

#include "bench/enginemodel.h"
#include "common/eventloop.h"

#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace cumindyke
{

/// Misbehaviour on command (POST /faults); each field keeps its value until it is set again.
struct Faults
{
    double slowness = 1;
    /// Every answer is refused unrun, with X-Not-Run.
    bool refuse = false;
    /// Every answer is an error 500 after it ran.
    bool fail = false;
    /// Answers carry another request's id.
    bool crossed = false;
    /// Each connection is cut after this many tokens (0: never); the stream can be resumed.
    std::uint32_t cutAfter = 0;
    /// A connection carries no more tokens after this many and stays open (0: never); a new one works.
    std::uint32_t silentAfter = 0;
    bool draining = false;
    /// Plain calls answer after this long.
    std::uint32_t plainDelayMs = 0;
    /// Orders with an old epoch are refused.
    bool checksFence = true;
};

struct FakeUpstreamOptions
{
    std::string name = "fake";
    std::string version = "v1";
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    /// One JSON line for each run, for the history checker; empty: none.
    std::string logFile;
    EngineSpeed speed;
};

/// The stand-in for a model engine and for a plain service, over HTTP:
///   POST /v1/completions, /v1/chat/completions    runs on the engine model, streams tokens
///   GET  /v1/streams/ID?offset=N                  resumes a stream from token N
///   DELETE /v1/streams/ID                         cancels it
///   GET  /load, /cache/events?after=N             lagging load, late events with gaps
///   POST /orders                                  {"epoch":N,"kind":…,"version":…}
///   POST /faults                                  fields of Faults
///   anything else                                 a plain call: counted and answered
class FakeUpstream
{
public:
    FakeUpstream(EventLoop &loop, FakeUpstreamOptions options);
    ~FakeUpstream();
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    struct Stream
    {
        RequestId id;
        bool chat = false;
        std::uint64_t seed = 0;
        std::uint32_t answerTokens = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t made = 0;
        std::uint32_t sent = 0;
        /// Tokens sent on the present connection.
        std::uint32_t sentHere = 0;
        bool finished = false;
        bool started = false;
        evhttp_request *reader = nullptr;
    };

    static void requestCame(evhttp_request *request, void *self);
    static void readerLeft(evhttp_connection *connection, void *self);
    void handle(evhttp_request *request);
    void runModel(evhttp_request *request, bool chat);
    void resume(evhttp_request *request, const std::string &id);
    void cancel(evhttp_request *request, const std::string &id);
    void takeOrder(evhttp_request *request);
    void takeFaults(evhttp_request *request);
    void runPlain(evhttp_request *request, const std::string &method, const std::string &path);
    void sendLoad(evhttp_request *request);
    void sendCacheEvents(evhttp_request *request);

    void attach(Stream &stream, evhttp_request *request);
    void detach(Stream &stream);
    void pump(Stream &stream);
    void sendToken(Stream &stream, std::uint32_t index);
    void sendEnd(Stream &stream);
    void advance();
    void scheduleAdvance();
    void logRun(const std::string &event, const std::string &id, const std::string &detail);

    EventLoop &m_loop;
    FakeUpstreamOptions m_options;
    evhttp *m_server;
    std::uint16_t m_port = 0;
    EngineModel m_engine;
    Timer m_step;
    Faults m_faults;
    std::map<std::string, Stream> m_streams;
    std::ofstream m_log;
    std::uint64_t m_plainRuns = 0;
    std::uint64_t m_highestEpoch = 0;
};

}
