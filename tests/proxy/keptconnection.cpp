#include "proxy/keptconnection.h"

#include "fakeplatform/platformsystem.h"
#include "support/soaksocket.h"
#include "upstream/answerparser.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace cumindyke::test
{

namespace
{

constexpr int AnswersPerConnection = 8;

std::string depositOf(const std::string &id)
{
    std::string bytes = "POST /deposits/a HTTP/1.1\r\n";
    for (const auto &[name, value] : callerHeaders(id)) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    return bytes.append("Content-Length: ").append(std::to_string(id.size())).append("\r\n\r\n").append(id);
}

}

KeptConnection::KeptConnection(Address entryVm)
    : m_entryVm(std::move(entryVm))
{
}

KeptConnection::~KeptConnection()
{
    closeSocket(m_socket);
}

KeptOutcome KeptConnection::request(const std::string &id)
{
    if (m_socket < 0) {
        m_answers = 0;
        m_hasReceived = false;
        m_wasReset = false;
        m_socket = connectTo(m_entryVm);
    }
    if (m_socket < 0) {
        return KeptOutcome::Refused;
    }
    setReceiveTimeout(m_socket, WaitTimeout);
    const std::string bytes = depositOf(id);
    m_wasReset = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0;
    if (!readAnswer()) {
        return endUnanswered();
    }
    if (++m_answers == AnswersPerConnection) {
        closeSocket(m_socket);
    }
    return KeptOutcome::Answered;
}

bool KeptConnection::readAnswer()
{
    AnswerParser parser("POST");
    std::array<char, 4096> buffer{};
    while (!parser.isWhole()) {
        const ssize_t got = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (got <= 0) {
            m_wasReset = m_wasReset || (got < 0 && errno == ECONNRESET);
            return false;
        }
        m_hasReceived = true;
        std::string_view bytes(buffer.data(), static_cast<std::size_t>(got));
        AnswerParser::Step step = AnswerParser::Step::Head;
        while (step == AnswerParser::Step::Head || step == AnswerParser::Step::Body) {
            step = parser.next(bytes);
        }
        if (step == AnswerParser::Step::Broken) {
            return false;
        }
    }
    return true;
}

KeptOutcome KeptConnection::endUnanswered()
{
    closeSocket(m_socket);
    return m_wasReset && !m_hasReceived ? KeptOutcome::Refused : KeptOutcome::Unanswered;
}

}
