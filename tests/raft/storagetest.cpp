#include "raft/fakefilesystem.h"
#include "raft/filestorage.h"
#include "raft/replica.h"
#include "raft/simulation.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::raft;
using namespace cumindyke::raft::test;

namespace
{

const std::string Folder = "data";

EntryPointer entry(Index index, Term term, const std::string &command)
{
    v1::LogEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_command(command);
    return std::make_shared<const v1::LogEntry>(entry);
}

/// The expected durable content of a replica.
struct Model
{
    Vote vote;
    Index snapshotIndex = 0;
    Term snapshotTerm = 0;
    /// Entries after snapshotIndex, and possibly some before it.
    std::map<Index, std::string> entries;

    std::map<Index, std::string> afterSnapshot() const
    {
        return {entries.upper_bound(snapshotIndex), entries.end()};
    }
    bool operator==(const Model &other) const
    {
        return vote == other.vote && snapshotIndex == other.snapshotIndex && afterSnapshot() == other.afterSnapshot();
    }
};

Model modelOf(const Recovered &recovered)
{
    Model model{.vote = recovered.vote, .snapshotIndex = recovered.snapshot->index, .snapshotTerm = recovered.snapshot->term, .entries = {}};
    for (const EntryPointer &entry : recovered.entries) {
        model.entries[entry->index()] = std::to_string(entry->term()) + entry->command();
    }
    return model;
}

/// A random operation on storage and model: appends entries (some supersede older ones), records a vote, saves a snapshot or installs a
/// received one.
class Operation
{
public:
    Operation(std::mt19937_64 &random, const Model &before)
        : after(before)
    {
        const Index last = before.entries.empty() ? before.snapshotIndex : std::max(before.entries.rbegin()->first, before.snapshotIndex);
        const std::uint64_t kind = random() % 10;
        if (kind < 2) {
            after.vote.term += 1;
            writes.vote = after.vote;
        } else if (kind < 3) {
            saved = snapshotAt(before.snapshotIndex + random() % (last - before.snapshotIndex + 1), before);
        } else if (kind < 4) {
            writes.snapshot = snapshotAt(last + 1 + random() % 5, before);
            writes.resetLog = true;
            after.entries.clear();
        } else {
            const Index first = last + 1 - random() % std::min<Index>(3, last - before.snapshotIndex + 1);
            after.entries.erase(after.entries.lower_bound(first), after.entries.end());
            for (Index index = first; index < first + 1 + random() % 4; ++index) {
                const std::string command(random() % 200'000, static_cast<char>('a' + random() % 26));
                writes.entries.push_back(entry(index, before.vote.term, command));
                after.entries[index] = std::to_string(before.vote.term) + command;
            }
        }
    }

    Writes writes;
    SnapshotPointer saved;
    Model after;

private:
    SnapshotPointer snapshotAt(Index index, const Model &before)
    {
        auto snapshot = std::make_shared<Snapshot>();
        const auto held = before.entries.find(index);
        const bool same = held == before.entries.end() && index == before.snapshotIndex;
        snapshot->index = index;
        snapshot->term = same ? before.snapshotTerm : held == before.entries.end() ? before.vote.term : std::stoull(held->second);
        after.snapshotIndex = index;
        after.snapshotTerm = snapshot->term;
        return snapshot;
    }
};

Writes firstWrites()
{
    return Writes{.identity = Identity{.incarnation = 7, .admitted = true}, .vote = Vote{.term = 1}, .snapshot = std::make_shared<Snapshot>()};
}

/// Creates a folder with three frames of one entry each; returns the segment's path.
std::string writeThreeFrames(FakeFileSystem &files)
{
    FileStorage<FakeFileSystem> storage(files, Folder);
    REQUIRE(ok(storage.open(7)));
    REQUIRE(ok(storage.persist(firstWrites())));
    for (Index index = 1; index <= 3; ++index) {
        REQUIRE(ok(storage.persist(Writes{.entries = {entry(index, 1, "command " + std::to_string(index))}})));
    }
    return Folder + "/0000000001.segment";
}

}

// A caller gets its answer once the replica has synced. The machine crashes at any disk operation, in the middle of a write or before a
// name is synced. After the restart every acknowledged write must be there, and the interrupted write either completely or not at all.
TEST_CASE("acknowledged writes survive a crash at any operation")
{
    std::mt19937_64 random(4);
    for (int history = 0; history < 400; ++history) {
        FakeFileSystem files(random());
        auto storage = std::make_unique<FileStorage<FakeFileSystem>>(files, Folder);
        REQUIRE(ok(storage->open(7)));
        REQUIRE(ok(storage->persist(firstWrites())));
        Model model{.vote = {.term = 1}};
        for (int step = 0; step < 30; ++step) {
            const Operation operation(random, model);
            if (random() % 4 == 0) {
                files.crashAfter(static_cast<int>(random() % 6));
            }
            const bool acknowledged = ok(operation.saved ? storage->saveSnapshot(operation.saved, operation.saved->index) : storage->persist(operation.writes));
            if (acknowledged && random() % 8 != 0) {
                model = operation.after;
                continue;
            }
            files.restart();
            storage = std::make_unique<FileStorage<FakeFileSystem>>(files, Folder);
            auto recovered = storage->open(8);
            INFO("history " << history << ", step " << step << (ok(recovered) ? "" : errorOf(recovered).message));
            REQUIRE(ok(recovered));
            const Model recoveredModel = modelOf(valueOf(recovered));
            REQUIRE((recoveredModel == operation.after || (!acknowledged && recoveredModel == model)));
            CHECK(valueOf(recovered).identity.incarnation == 7);
            model = recoveredModel;
        }
    }
}

// Guards against a replica that takes its own log for damaged after a loss of power, since the disk kept some removals of old segments and not others.
TEST_CASE("a crash between the removals of segments leaves a log that can be read")
{
    constexpr Index Entries = 15;
    constexpr std::size_t EntryBytes = 400'000;
    constexpr int MaxOperations = 20;
    constexpr std::uint64_t Seeds = 10;
    const bool installs = GENERATE(false, true);
    for (int operations = 0; operations < MaxOperations; ++operations) {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            CAPTURE(installs, operations, seed);
            FakeFileSystem files(seed);
            auto storage = std::make_unique<FileStorage<FakeFileSystem>>(files, Folder);
            REQUIRE(ok(storage->open(7)));
            REQUIRE(ok(storage->persist(firstWrites())));
            Model before{.vote = {.term = 1}};
            for (Index index = 1; index <= Entries; ++index) {
                const std::string command(EntryBytes, static_cast<char>('a' + index));
                REQUIRE(ok(storage->persist(Writes{.entries = {entry(index, 1, command)}})));
                before.entries[index] = "1" + command;
            }
            auto snapshot = std::make_shared<Snapshot>();
            snapshot->index = installs ? Entries + 25 : Entries - 2;
            snapshot->term = 1;
            Model after = before;
            after.snapshotIndex = snapshot->index;
            after.snapshotTerm = 1;
            files.crashAfter(operations);
            const bool isDone
                = ok(installs ? storage->persist(Writes{.snapshot = snapshot, .resetLog = true}) : storage->saveSnapshot(snapshot, snapshot->index));
            files.restart();
            storage = std::make_unique<FileStorage<FakeFileSystem>>(files, Folder);
            auto recovered = storage->open(8);
            INFO((ok(recovered) ? "" : errorOf(recovered).message));
            REQUIRE(ok(recovered));
            const Model found = modelOf(valueOf(recovered));
            REQUIRE((found == after || (!isDone && found == before)));
        }
    }
}

// A crash during the write of the last frame: the frame is truncated at the next start, and the log continues after it.
TEST_CASE("a torn tail is truncated")
{
    FakeFileSystem files(1);
    std::string &segment = files.files[writeThreeFrames(files)];
    segment.resize(segment.size() - 3);
    for (int start = 0; start < 2; ++start) {
        FileStorage<FakeFileSystem> storage(files, Folder);
        auto recovered = storage.open(8);
        REQUIRE(ok(recovered));
        REQUIRE(valueOf(recovered).entries.size() == static_cast<std::size_t>(2 + start));
        CHECK(ok(storage.persist(Writes{.entries = {entry(3 + static_cast<Index>(start), 1, "again")}})));
    }
}

// A bit of an acknowledged entry is flipped on the disk. Truncating the log there would silently lose the entries after it, so the start is
// refused with an error that names the file, the offset and the remedy.
TEST_CASE("damage before the tail is reported with file, offset and remedy")
{
    FakeFileSystem files(1);
    const std::string path = writeThreeFrames(files);
    files.files[path][60] ^= 1;
    FileStorage<FakeFileSystem> storage(files, Folder);
    const auto recovered = storage.open(8);
    REQUIRE(!ok(recovered));
    CHECK(errorOf(recovered).kind == ErrorKind::Storage);
    CHECK_THAT(errorOf(recovered).message, Catch::Matchers::StartsWith(path + " is damaged at offset 32: "));
    CHECK_THAT(errorOf(recovered).message, Catch::Matchers::Contains("move the data folder away and restart"));
}

TEST_CASE("a damaged or missing vote, identity or snapshot is refused")
{
    for (const char *path : {"data/vote", "data/identity", "data/snapshot"}) {
        FakeFileSystem damagedFiles(1);
        writeThreeFrames(damagedFiles);
        damagedFiles.files[path].back() ^= 1;
        CHECK(!ok(FileStorage<FakeFileSystem>(damagedFiles, Folder).open(8)));
    }
    for (const char *path : {"data/vote", "data/identity"}) {
        FakeFileSystem files(1);
        writeThreeFrames(files);
        files.files.erase(path);
        CHECK(!ok(FileStorage<FakeFileSystem>(files, Folder).open(8)));
    }
}

// The disk is full: the write fails, and the replica must not acknowledge it or anything after it.
TEST_CASE("a full disk stops the replica before it acknowledges anything")
{
    FakeFileSystem files(1);
    FileStorage<FakeFileSystem> storage(files, Folder);
    auto recovered = storage.open(7);
    REQUIRE(ok(recovered));
    auto first = std::make_shared<Snapshot>();
    first->membership.add_voters("vm-1");
    first->membership.add_voters("vm-2");
    valueOf(recovered).snapshot = first;
    valueOf(recovered).identity.admitted = true;
    std::size_t sent = 0;
    SimulatedTransport transport{[&sent](v1::RaftMessage &&) { ++sent; }};
    SimulatedState state;
    Replica<FileStorage<FakeFileSystem>, SimulatedTransport, SimulatedState> replica(
        CoreOptions{.self = VmName{"vm-1"}}, valueOf(recovered), 1, TimePoint(), SnapshotPolicy{}, storage, transport, state);
    v1::RaftMessage append;
    append.set_kind(v1::RaftMessage::APPEND);
    append.set_from("vm-2");
    append.set_to("vm-1");
    append.set_term(1);
    *append.add_entries() = *entry(1, 1, "command");
    files.failAfter(0);
    replica.core().step(append, TimePoint());
    const Result<Done> flushed = replica.flush(TimePoint());
    REQUIRE(!ok(flushed));
    CHECK_THAT(errorOf(flushed).message, Catch::Matchers::Contains("No space left"));
    CHECK(sent == 0);
}

namespace
{

/// The only voter of its cluster, on a disk that can be full.
struct SingleVoter
{
    explicit SingleVoter(FakeFileSystem &files)
        : storage(files, Folder)
        , recovered(open())
    {
    }
    Recovered open()
    {
        auto opened = storage.open(7);
        REQUIRE(ok(opened));
        if (!valueOf(opened).snapshot) {
            auto first = std::make_shared<Snapshot>();
            first->membership.add_voters("vm-1");
            REQUIRE(ok(storage.persist(Writes{.identity = Identity{.incarnation = 7, .admitted = true}, .vote = {}, .snapshot = first})));
            valueOf(opened).snapshot = first;
            valueOf(opened).identity.admitted = true;
        }
        return std::move(valueOf(opened));
    }

    FileStorage<FakeFileSystem> storage;
    Recovered recovered;
    SimulatedTransport transport{[](v1::RaftMessage &&) {}};
    SimulatedState state{.applied = [](const v1::LogEntry &, std::uint64_t) {}, .installed = [](Index, std::uint64_t) {}};
    Replica<FileStorage<FakeFileSystem>, SimulatedTransport, SimulatedState>
        replica{CoreOptions{.self = VmName{"vm-1"}}, recovered, 1, TimePoint(), SnapshotPolicy{}, storage, transport, state};
};

}

// Guards against control replicas that end one after the other while the disk of their VM is full for some seconds.
TEST_CASE("a replica whose disk is full applies nothing, goes on when there is space again, and has lost nothing after a restart")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        FakeFileSystem files(seed);
        std::mt19937_64 random(seed);
        TimePoint now{std::chrono::seconds(10)};
        Index applied = 0;
        std::size_t proposed = 0;
        {
            SingleVoter voter(files);
            for (int step = 0; step < 60; ++step) {
                now += std::chrono::milliseconds(200);
                const bool full = step > 10 && step < 50 && random() % 2 == 0;
                files.setFull(full);
                voter.replica.core().tick(now);
                const bool isProposed = voter.replica.core().propose(std::string(random() % 100'000, 'x')).has_value();
                proposed += isProposed ? 1 : 0;
                const Result<Done> flushed = voter.replica.flush(now);
                if (full && isProposed) {
                    REQUIRE(!ok(flushed));
                    CHECK(errorOf(flushed).kind == ErrorKind::StorageFull);
                    CHECK(voter.replica.isStalled());
                    CHECK(voter.replica.appliedIndex() == applied);
                }
                CHECK((full || ok(flushed)));
                applied = voter.replica.appliedIndex();
            }
        }
        INFO("seed " << seed);
        CHECK(proposed > 40);
        CHECK(applied >= proposed);
        files.restart();
        SingleVoter restarted(files);
        CHECK(restarted.recovered.baseIndex + restarted.recovered.entries.size() >= applied);
    }
}

TEST_CASE("two processes can't use one folder")
{
    const cumindyke::test::TemporaryFolder folder;
    PosixFileSystem first;
    PosixFileSystem second;
    CHECK(ok(first.openFolder(folder.path())));
    const Result<Done> refused = second.openFolder(folder.path());
    REQUIRE(!ok(refused));
    CHECK(errorOf(refused).kind == ErrorKind::Unavailable);
    CHECK_THAT(errorOf(refused).message, Catch::Matchers::Contains("in use by another process"));
}

TEST_CASE("POSIX files keep the log across a restart")
{
    const cumindyke::test::TemporaryFolder folder;
    for (Index run = 1; run <= 3; ++run) {
        PosixFileSystem files;
        FileStorage<PosixFileSystem> storage(files, folder.path());
        auto recovered = storage.open(run);
        REQUIRE(ok(recovered));
        CHECK(valueOf(recovered).identity.incarnation == 1);
        CHECK(valueOf(recovered).entries.size() == run - 1);
        CHECK(valueOf(recovered).vote.term == run - 1);
        auto snapshot = run == 1 ? std::make_shared<Snapshot>() : nullptr;
        CHECK(ok(storage.persist(Writes{.vote = Vote{.term = run}, .snapshot = snapshot, .entries = {entry(run, run, "command")}})));
    }
}

// Guards against a log of large commands that fills the memory and the disk long before its number of entries triggers a snapshot.
TEST_CASE("large commands trigger a snapshot by their bytes, and their bytes in memory and on the disk are bounded")
{
    constexpr std::size_t CommandBytes = 300 << 10;
    FakeFileSystem files(1);
    FileStorage<FakeFileSystem> storage(files, Folder);
    auto recovered = storage.open(7);
    REQUIRE(ok(recovered));
    auto first = std::make_shared<Snapshot>();
    first->membership.add_voters("vm-1");
    valueOf(recovered).snapshot = first;
    valueOf(recovered).identity.admitted = true;
    SimulatedTransport transport{[](v1::RaftMessage &&) {}};
    SimulatedState state{.applied = [](const v1::LogEntry &, std::uint64_t) {}, .installed = [](Index, std::uint64_t) {}};
    Replica<FileStorage<FakeFileSystem>, SimulatedTransport, SimulatedState> replica(
        CoreOptions{.self = VmName{"vm-1"}}, valueOf(recovered), 1, TimePoint(), SnapshotPolicy{}, storage, transport, state);
    replica.core().tick(TimePoint());
    for (int change = 0; change < 400; ++change) {
        REQUIRE(ok(replica.flush(TimePoint())));
        REQUIRE(replica.core().propose(std::string(CommandBytes, 'x')));
        std::size_t bytesInMemory = 0;
        for (Index index = replica.core().log().baseIndex() + 1; index <= replica.core().log().lastIndex(); ++index) {
            bytesInMemory += replica.core().log().at(index)->command().size();
        }
        REQUIRE(bytesInMemory <= std::size_t{16} << 20);
    }
    std::size_t onDisk = 0;
    for (const auto &[path, bytes] : files.files) {
        onDisk += bytes.size();
    }
    CHECK(onDisk <= std::size_t{32} << 20);
}
