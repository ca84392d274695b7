#pragma once

#include "soak/answerchecker.h"
#include "soak/soakcaller.h"

#include <chrono>
#include <optional>
#include <random>

namespace cumindyke::test
{

/// Requests as they are sent one behind the other on a connection.
struct Pipeline
{
    struct Item
    {
        SoakRequest request;
        /// Where its bytes end.
        std::size_t end = 0;
    };

    std::string bytes;
    std::vector<Item> items;
    /// The last bytes are no request: the daemon has to refuse them, and to run nothing behind them.
    bool endsRefused = false;
};

/// Two to six sound requests in the forms that RFC 9112 allows, with bodies that look like requests. A third of the pipelines end with a form that has to be
/// refused and with a request behind it.
Pipeline makePipeline(const std::string &idPrefix, std::mt19937_64 &random);

/// A caller that keeps its connections, sends pipelines cut at random places, with pauses, and leaves some of them in the middle.
class PipeliningCaller
{
public:
    /// With "isStrict" each request that was sent as a whole must be answered unless this caller leaves: nothing ends or disturbs the
    /// processes. Connections that are reset before any byte came are recorded for the test, which knows what the entry VMs refused.
    PipeliningCaller(std::vector<Address> entryVms, std::string prefix, std::uint64_t seed, bool isStrict, SoakRecord &record);
    ~PipeliningCaller();
    PipeliningCaller(const PipeliningCaller &) = delete;
    PipeliningCaller &operator=(const PipeliningCaller &) = delete;

    void run(const std::atomic<bool> &stop);

private:
    void play(const Pipeline &pipeline);
    /// Returns the bytes that were sent.
    std::size_t sendCut(const Pipeline &pipeline, bool leaves);
    void receive(std::chrono::milliseconds wait);
    /// Reads the answers that have come completely.
    void takeAnswers(const Pipeline &pipeline);
    void takeRefusal();
    void report(const Violation &violation);

    const std::vector<Address> m_entryVms;
    const std::string m_prefix;
    std::mt19937_64 m_random;
    const bool m_isStrict;
    SoakRecord &m_record;
    int m_socket = -1;
    Address m_entryVm;
    int m_number = 0;
    std::string m_received;
    /// Any byte came on the present connection.
    bool m_hasReceived = false;
    /// A reset that a failed sending has shown, so that reading shows an end in order.
    bool m_isSendReset = false;
    ConnectionEnd m_end = ConnectionEnd::Open;
    /// Of the present pipeline.
    std::vector<CallerAnswer> m_answers;
    std::optional<CallerAnswer> m_refusal;
    bool m_isBroken = false;
};

}
