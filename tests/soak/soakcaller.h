#pragma once

#include "common/types.h"
#include "soak/answerchecker.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>

namespace cumindyke::test
{

/// What all callers saw; shared by their threads.
struct SoakRecord
{
    std::mutex mutex;
    std::vector<SoakOutcome> outcomes;
    std::vector<Violation> violations;
    /// Requests whose answers neither came nor ended within AnswerTimeout.
    int unanswered = 0;
    std::size_t longestBodyBytes = 0;
    /// Connections of strict callers that an entry VM reset before any of its bytes came, by its host.
    std::map<std::string, int> refusedConnections;
};

/// A caller that sends one request after the other on connections that it keeps until the entry VM closes them. Some requests are uploads, some are
/// HTTP/1.0, some answers are read slowly, and some connections are left in the middle.
class SoakCaller
{
public:
    /// The ids of its requests begin with the prefix.
    SoakCaller(std::vector<Address> entryVms, std::string prefix, std::uint64_t seed, SoakRecord &record)
        : m_entryVms(std::move(entryVms))
        , m_prefix(std::move(prefix))
        , m_random(seed)
        , m_record(record)
    {
    }
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    void run(const std::atomic<bool> &stop);

private:
    enum class Manner { Usual, Slow, Leaves };

    std::size_t below(std::size_t bound);
    bool connectToAny();
    void disconnect();
    void sendRequest(const SoakRequest &request, const std::string &route, bool isHttp10);
    void readAnswer(const SoakRequest &request, Manner manner, bool isHttp10);
    void reportBytesBehindLast();

    const std::vector<Address> m_entryVms;
    const std::string m_prefix;
    std::mt19937_64 m_random;
    SoakRecord &m_record;
    int m_socket = -1;
    int m_sent = 0;
    SoakRequest m_last;
};

}
