#pragma once

#include "common/types.h"

#include <string>

namespace cumindyke::test
{

/// How a request on a kept connection ended for its caller.
enum class KeptOutcome {
    Answered,
    Refused, ///< the connection was refused, or reset before any byte came on it: the VM has not accepted it
    Unanswered,
};

/// A caller's connection that serves a few requests and is opened anew then.
class KeptConnection
{
public:
    explicit KeptConnection(Address entryVm);
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    /// Sends a request that must not be repeated, and reads its answer.
    KeptOutcome request(const std::string &id);

private:
    bool readAnswer();
    KeptOutcome endUnanswered();

    const Address m_entryVm;
    int m_socket = -1;
    /// On the present connection.
    int m_answers = 0;
    bool m_hasReceived = false;
    bool m_wasReset = false;
};

}
