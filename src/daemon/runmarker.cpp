#include "daemon/runmarker.h"

#include <fcntl.h>
#include <unistd.h>

namespace cumindyke
{

RunMarker::RunMarker(const std::string &dataFolder)
    : m_file(dataFolder.empty() ? "" : dataFolder + "/running")
{
}

bool RunMarker::isLeft() const
{
    return !m_file.empty() && access(m_file.c_str(), F_OK) == 0;
}

void RunMarker::place() const
{
    if (m_file.empty()) {
        return;
    }
    const int file = open(m_file.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (file >= 0) {
        close(file);
    }
}

void RunMarker::clear() const
{
    if (!m_file.empty()) {
        unlink(m_file.c_str());
    }
}

}
