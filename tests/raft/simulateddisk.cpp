#include "raft/simulation.h"

#include "common/hash.h"
#include "raft/history.h"

namespace cumindyke::raft::test
{

std::size_t SimulatedDisk::keptCount(std::size_t count)
{
    return crashInNextSync ? (*random)() % (count + 1) : count;
}

void SimulatedDisk::install(const Writes &writes)
{
    content.snapshot = writes.snapshot;
    if (writes.resetLog) {
        content.entries.clear();
        content.baseIndex = writes.snapshot->index;
        content.baseTerm = writes.snapshot->term;
    }
}

void SimulatedDisk::append(const EntryPointer &entry)
{
    content.entries.resize(entry->index() - content.baseIndex - 1);
    content.entries.push_back(entry);
}

Result<Done> SimulatedDisk::persist(const Writes &writes)
{
    const std::size_t steps = keptCount(4);
    if (writes.identity && steps >= 1) {
        content.identity = *writes.identity;
    }
    if (writes.vote && steps >= 2) {
        content.vote = *writes.vote;
    }
    if (writes.snapshot && steps >= 3) {
        install(writes);
    }
    if (steps >= 4) {
        const std::size_t entries = keptCount(writes.entries.size());
        for (std::size_t i = 0; i < entries; ++i) {
            append(writes.entries[i]);
        }
    }
    if (crashInNextSync) {
        return Error{ErrorKind::Storage, "crashed"};
    }
    return Done{};
}

Result<Done> SimulatedDisk::saveSnapshot(const SnapshotPointer &snapshot, Index keepAfter)
{
    if (crashInNextSync && keptCount(1) == 0) {
        return Error{ErrorKind::Storage, "crashed"};
    }
    content.snapshot = snapshot;
    if (keepAfter > content.baseIndex) {
        const auto dropped = static_cast<std::ptrdiff_t>(keepAfter - content.baseIndex);
        content.baseTerm = content.entries[keepAfter - content.baseIndex - 1]->term();
        content.entries.erase(content.entries.begin(), content.entries.begin() + dropped);
        content.baseIndex = keepAfter;
    }
    if (crashInNextSync) {
        return Error{ErrorKind::Storage, "crashed"};
    }
    return Done{};
}

void SimulatedState::install(const Snapshot &snapshot)
{
    index = snapshot.index;
    sum = std::stoull(snapshot.state.substr(0, snapshot.state.find(' ')));
    installed(index, sum);
}

void SimulatedState::apply(const v1::LogEntry &entry)
{
    if (entry.index() != index + 1) {
        throw CheckFailed("applied " + std::to_string(entry.index()) + " after " + std::to_string(index));
    }
    index = entry.index();
    sum = checksum(std::to_string(sum) + ":" + std::to_string(entry.index()) + ":" + std::to_string(entry.term()) + ":" + entry.command());
    applied(entry, sum);
}

std::string SimulatedState::snapshot() const
{
    return std::to_string(sum) + " " + std::string(100, 'x');
}

}
