#include "control/watchers.h"

#include <algorithm>

namespace cumindyke
{

void Watchers::add(Revision after, std::shared_ptr<EventSink> sink)
{
    m_watchers.push_back(Watcher{.seenRevision = after, .sentMoves = {}, .sink = std::move(sink)});
}

bool Watchers::anyOpen()
{
    std::erase_if(m_watchers, [](const Watcher &watcher) { return watcher.sink->isClosed(); });
    return !m_watchers.empty();
}

Revision Watchers::oldestSeenRevision() const
{
    const auto oldest = std::ranges::min_element(m_watchers, {}, &Watcher::seenRevision);
    return oldest == m_watchers.end() ? Revision{0} : oldest->seenRevision;
}

void Watchers::sendHistory(const v1::HistoryReply &history)
{
    for (Watcher &watcher : m_watchers) {
        for (const v1::HistoryEntry &entry : history.entries()) {
            if (entry.revision() <= watcher.seenRevision.value) {
                continue;
            }
            v1::Event event;
            event.set_revision(entry.revision());
            *event.mutable_applied() = entry;
            watcher.sink->send(event);
            watcher.seenRevision = Revision{entry.revision()};
        }
    }
}

void Watchers::sendMoves(const std::vector<v1::Move> &moves, Revision inForce)
{
    for (Watcher &watcher : m_watchers) {
        for (const v1::Move &move : moves) {
            std::string bytes = move.SerializeAsString();
            std::string &sent = watcher.sentMoves[move.name()];
            if (sent == bytes) {
                continue;
            }
            sent = std::move(bytes);
            v1::Event event;
            event.set_revision(inForce.value);
            *event.mutable_move() = move;
            watcher.sink->send(event);
        }
    }
}

}
