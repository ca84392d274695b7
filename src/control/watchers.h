#pragma once

#include "domain/declarations.h"
#include "peer/rpcserver.h"

#include "control.pb.h"

#include <map>
#include <memory>
#include <vector>

namespace cumindyke
{

/// Operators' watches on this VM: each gets every accepted change after its revision in order, and each move whenever it changes.
class Watchers
{
public:
    void add(Revision after, std::shared_ptr<EventSink> sink);
    /// Removes watchers whose connection is closed; returns whether any remain.
    bool anyOpen();
    /// Returns the lowest of the last revisions sent to each watcher.
    Revision oldestSeenRevision() const;
    void sendHistory(const v1::HistoryReply &history);
    void sendMoves(const std::vector<v1::Move> &moves, Revision inForce);

private:
    struct Watcher
    {
        Revision seenRevision;
        std::map<std::string, std::string> sentMoves;
        std::shared_ptr<EventSink> sink;
    };

    std::vector<Watcher> m_watchers;
};

}
