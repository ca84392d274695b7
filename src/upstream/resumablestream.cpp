#include "upstream/resumablestream.h"

namespace cumindyke
{

namespace
{

constexpr std::string_view EndMarker = "[DONE]";

}

std::vector<StreamEvent> ResumableStream::feed(std::string_view bytes)
{
    std::vector<StreamEvent> newEvents;
    for (StreamEvent &event : m_parser.feed(bytes)) {
        if (isBroken() || m_isComplete || !acceptEvent(event)) {
            continue;
        }
        m_isComplete = event.data == EndMarker;
        newEvents.push_back(std::move(event));
    }
    return newEvents;
}

bool ResumableStream::acceptEvent(const StreamEvent &event)
{
    const EventVerdict verdict = m_numbering.judge(event.id);
    m_duplicateCount += verdict == EventVerdict::Drop ? 1 : 0;
    m_broken = verdict == EventVerdict::Break;
    return verdict == EventVerdict::Pass;
}

void ResumableStream::startConnection()
{
    m_parser = {};
    m_broken = false;
    m_numbering.startAnswer();
}

}
