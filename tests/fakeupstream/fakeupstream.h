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

/// Faults to simulate, set by POST /faults; each field keeps its value until it is set again.
struct Faults
{
    /// Factor on the engine's step time.
    double slowness = 1;
    /// Every request is refused without running it, with X-Not-Run.
    bool refuse = false;
    /// Every request runs and is answered with status 500.
    bool fail = false;
    /// Answers carry another request's id.
    bool crossed = false;
    /// Each connection is closed after this many tokens (0: never); the stream can be resumed.
    std::uint32_t cutAfter = 0;
    /// Each connection stalls, but stays open, after this many tokens (0: never); the stream can be resumed.
    std::uint32_t silentAfter = 0;
    /// Reports itself as draining and refuses requests without running them.
    bool draining = false;
    /// Delay of the answers to plain calls.
    std::uint32_t plainDelayMs = 0;
    /// Requests a second that answers name as X-Request-Limit; empty: none.
    std::string requestLimit;
    /// Refuses orders with an outdated epoch.
    bool checksFence = true;
};

struct FakeUpstreamOptions
{
    std::string name = "fake";
    std::string version = "v1";
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    /// Log of runs for the history checker, one JSON object per line; empty: none.
    std::string logFile;
    /// The process exits shortly after it began to run a model request whose prompt contains this text; empty: never.
    std::string crashOn;
    EngineSpeed speed;
};

/// Simulates a model engine and a plain service over HTTP:
///   POST /v1/completions, /v1/chat/completions    runs on the simulated engine, streams tokens
///   GET  /v1/streams/ID?offset=N                  resumes a stream from token N
///   DELETE /v1/streams/ID                         cancels it
///   GET  /load, /cache/events?after=N             delayed load, delayed cache events with gaps
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
        std::uint64_t promptChecksum = 0;
        std::uint32_t answerTokens = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t generatedTokens = 0;
        std::uint32_t sentTokens = 0;
        /// Tokens sent on the current connection.
        std::uint32_t sentOnConnection = 0;
        bool finished = false;
        bool headSent = false;
        evhttp_request *reader = nullptr;
    };

    static void onRequest(evhttp_request *request, void *self);
    static void onReaderDisconnected(evhttp_connection *connection, void *self);
    void handle(evhttp_request *request);
    void runModel(evhttp_request *request, bool chat);
    void resume(evhttp_request *request, const std::string &id);
    void cancel(evhttp_request *request, const std::string &id);
    void handleOrder(evhttp_request *request);
    void handleFaults(evhttp_request *request);
    void runPlain(evhttp_request *request, const std::string &method, const std::string &path);
    void addRequestLimit(evhttp_request *request) const;
    void sendLoad(evhttp_request *request);
    void sendCacheEvents(evhttp_request *request);

    void attachReader(Stream &stream, evhttp_request *request);
    void closeReader(Stream &stream);
    void sendPending(Stream &stream);
    void sendToken(Stream &stream, std::uint32_t index);
    void sendEnd(Stream &stream);
    void advance();
    void scheduleAdvance();
    void logEvent(const std::string &event, const std::string &id, const std::string &detail);

    EventLoop &m_loop;
    FakeUpstreamOptions m_options;
    evhttp *m_server;
    std::uint16_t m_port = 0;
    EngineModel m_engine;
    Timer m_stepTimer;
    Timer m_crashTimer;
    Faults m_faults;
    std::map<std::string, Stream> m_streams;
    std::ofstream m_log;
    std::uint64_t m_plainCallCount = 0;
    std::uint64_t m_highestEpoch = 0;
};

}
