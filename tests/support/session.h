#pragma once

#include "support/processes.h"

#include <string>

namespace cumindyke::test
{

/// Records a session of operators and callers as text and compares it with the golden file in tests/golden.
///
/// Addresses and the random part of request ids are normalised, nothing else. With CUMINDYKE_RECORD=1 the session overwrites the golden
/// file; the change of the file is then reviewed with the change of behaviour.
class Session
{
public:
    void record(const std::string &command, const std::string &result);
    void record(const std::string &command, const ProcessResult &result);
    void record(const std::string &command, const HttpAnswer &answer);
    /// Normalises further text that differs between runs, for example which VM is the leader.
    void replace(const std::string &pattern, const std::string &replacement);
    void compareWith(const std::string &name) const;

private:
    std::string normalised() const;

    std::string m_text;
};

}
