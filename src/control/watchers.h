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
    /// Forgets operators who have left; false when none remains.
    bool any();
    /// The revision that the furthest behind has seen.
    Revision oldestSeen() const;
    void sendHistory(const v1::HistoryReply &history);
    void sendMoves(const std::vector<v1::Move> &moves, Revision inForce);

private:
    struct Watcher
    {
        Revision seen;
        std::map<std::string, std::string> moves;
        std::shared_ptr<EventSink> sink;
    };

    std::vector<Watcher> m_watchers;
};

}
