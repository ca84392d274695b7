#pragma once

#include "support/processes.h"

#include <string>

namespace cumindyke::test
{

/// A whole session of operators and callers as text, compared with the recorded one in tests/golden.
///
/// Only what is truly free is made equal: addresses and the random part of request ids. CUMINDYKE_RECORD=1 writes the session as the
/// new record, for a change of behaviour that is reviewed with it.
class Session
{
public:
    void record(const std::string &line, const std::string &result);
    void record(const std::string &line, const ProcessResult &finished);
    void record(const std::string &line, const HttpAnswer &answer);
    /// Makes equal what differs from run to run in this session, for example which VM leads.
    void replace(const std::string &pattern, const std::string &by);
    void compareWith(const std::string &name) const;

private:
    std::string normalised() const;

    std::string m_text;
};

}
