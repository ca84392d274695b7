#pragma once

#include "raft/filesystem.h"
#include "raft/segment.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <map>

namespace cumindyke::raft
{

/// Durable storage in one folder:
///
///   identity              identity of the data folder (StoredIdentity)
///   vote                  StoredVote
///   snapshot              StoredSnapshot
///   NNNNNNNNNN.segment    the log, in the order of the numbers
///
/// The first three files hold one frame each and are replaced by rename. Segments are append-only: a batch that starts before the end of
/// the log supersedes the entries from there on, so that acknowledged bytes are never overwritten in place.
template<FileSystem F>
class FileStorage
{
public:
    FileStorage(F &files, std::string folder)
        : m_files(files)
        , m_folder(std::move(folder))
    {
    }

    /// Reads the folder and truncates a torn write. The snapshot is null when the folder is new or no cluster was formed yet. A new folder
    /// gets the given incarnation. Error: Storage.
    Result<Recovered> open(std::uint64_t newIncarnation);
    Result<Done> persist(const Writes &writes);
    Result<Done> saveSnapshot(const SnapshotPointer &snapshot, Index keepAfter);

private:
    static constexpr std::size_t MaxSegmentBytes = 1 << 20;

    struct Segment
    {
        std::string path;
        SegmentHeader header;
        std::uint64_t size = 0;
    };

    template<typename Message>
    Result<std::optional<Message>> readRecord(const std::string &name);
    template<typename Message>
    Result<Done> replaceRecord(const std::string &name, const Message &message);
    Result<Done> readSegments(Recovered &recovered);
    Result<Done> readSegment(const std::string &path, bool isLast, Recovered &recovered);
    Result<Done> reconcileWithSnapshot(Recovered &recovered);
    Result<Done> appendEntries(const std::vector<EntryPointer> &entries);
    Result<Done> removeSegments(std::size_t count);
    Result<Done> writeSnapshot(const Snapshot &snapshot);
    std::string nextSegmentPath();

    F &m_files;
    const std::string m_folder;
    std::vector<Segment> m_segments;
    std::uint64_t m_nextSegmentNumber = 1;
    /// Term of each entry in the segments, for the headers of new segments.
    std::map<Index, Term> m_entryTerms;
};

template<FileSystem F>
template<typename Message>
Result<std::optional<Message>> FileStorage<F>::readRecord(const std::string &name)
{
    const std::string path = m_folder + "/" + name;
    const auto names = m_files.list(m_folder);
    if (!ok(names)) {
        return errorOf(names);
    }
    if (std::ranges::find(valueOf(names), name) == valueOf(names).end()) {
        return std::optional<Message>();
    }
    const auto bytes = m_files.read(path);
    if (!ok(bytes)) {
        return errorOf(bytes);
    }
    // The file was synced before it was renamed to this name, so it can't be torn.
    const std::optional<Frame> frame = decodeFrame(valueOf(bytes), 0);
    Message message;
    if (!frame || frame->end != valueOf(bytes).size() || !message.ParseFromArray(frame->payload.data(), static_cast<int>(frame->payload.size()))) {
        return damagedError(path, 0, "its checksum doesn't match");
    }
    return std::optional<Message>(std::move(message));
}

/// Writes and syncs the new content under a temporary name, then renames it: a crash leaves either the old or the new file, never a
/// mixture.
template<FileSystem F>
template<typename Message>
Result<Done> FileStorage<F>::replaceRecord(const std::string &name, const Message &message)
{
    const std::string path = m_folder + "/" + name;
    const std::string temporaryPath = path + ".new";
    const std::string bytes = encodeFrame(message.SerializeAsString());
    Result<Done> done = m_files.write(temporaryPath, 0, bytes);
    if (ok(done)) {
        done = m_files.rename(temporaryPath, path);
    }
    if (ok(done)) {
        done = m_files.syncFolder(m_folder);
    }
    return done;
}

template<FileSystem F>
Result<Recovered> FileStorage<F>::open(std::uint64_t newIncarnation)
{
    if (const auto opened = m_files.openFolder(m_folder); !ok(opened)) {
        return errorOf(opened);
    }
    Recovered recovered;
    const auto identity = readRecord<v1::StoredIdentity>("identity");
    const auto vote = readRecord<v1::StoredVote>("vote");
    const auto snapshot = readRecord<v1::StoredSnapshot>("snapshot");
    for (const Error *error : {std::get_if<Error>(&identity), std::get_if<Error>(&vote), std::get_if<Error>(&snapshot)}) {
        if (error) {
            return *error;
        }
    }
    if (valueOf(vote)) {
        recovered.vote = Vote{.term = valueOf(vote)->term(), .votedFor = VmName{valueOf(vote)->voted_for()}};
    }
    if (valueOf(snapshot)) {
        const v1::StoredSnapshot &stored = *valueOf(snapshot);
        recovered.snapshot
            = std::make_shared<Snapshot>(Snapshot{.index = stored.index(), .term = stored.term(), .membership = stored.membership(), .state = stored.state()});
    }
    if (auto read = readSegments(recovered); !ok(read)) {
        return errorOf(read);
    }
    const Term newestTerm = std::max(recovered.entries.empty() ? 0 : recovered.entries.back()->term(), recovered.snapshot ? recovered.snapshot->term : 0);
    if (newestTerm > recovered.vote.term) {
        return damagedError(m_folder + "/vote", 0, "its term is older than the log");
    }
    if (valueOf(identity)) {
        recovered.identity = Identity{.incarnation = valueOf(identity)->incarnation(), .admitted = valueOf(identity)->admitted()};
        return recovered;
    }
    // Without an identity, the folder never made a promise. If it has a vote or a log, somebody has removed the identity file.
    if (valueOf(vote) || valueOf(snapshot) || !m_segments.empty()) {
        return damagedError(m_folder + "/identity", 0, "the file is missing");
    }
    recovered.identity.incarnation = newIncarnation;
    if (const auto done = persist(Writes{.identity = recovered.identity}); !ok(done)) {
        return errorOf(done);
    }
    return recovered;
}

template<FileSystem F>
Result<Done> FileStorage<F>::readSegments(Recovered &recovered)
{
    const auto names = m_files.list(m_folder);
    if (!ok(names)) {
        return errorOf(names);
    }
    std::vector<std::string> paths;
    for (const std::string &name : valueOf(names)) {
        if (!name.ends_with(".segment")) {
            continue;
        }
        m_nextSegmentNumber = std::strtoull(name.c_str(), nullptr, 10) + 1;
        paths.push_back(m_folder + "/" + name);
    }
    for (const std::string &path : paths) {
        if (auto read = readSegment(path, path == paths.back(), recovered); !ok(read)) {
            return read;
        }
    }
    return reconcileWithSnapshot(recovered);
}

template<FileSystem F>
Result<Done> FileStorage<F>::readSegment(const std::string &path, bool isLast, Recovered &recovered)
{
    const auto bytes = m_files.read(path);
    if (!ok(bytes)) {
        return errorOf(bytes);
    }
    auto content = parseSegment(valueOf(bytes), path);
    if (!ok(content)) {
        return errorOf(content);
    }
    const SegmentContent &segment = valueOf(content);
    const bool isEmpty = !segment.header || segment.batches.empty();
    if (!isLast && (isEmpty || segment.validBytes != valueOf(bytes).size())) {
        return damagedError(path, segment.validBytes, "a later segment was written");
    }
    // A crash came before the first batch was complete. The header may name an index that the next batch doesn't start with; if the file
    // were kept, a later removal of older segments could delete entries that are still needed.
    if (isEmpty) {
        Result<Done> removed = m_files.remove(path);
        return ok(removed) ? m_files.syncFolder(m_folder) : removed;
    }
    // A segment that starts at or before the base was left by a crash during the removal of older segments: everything before it was to be
    // removed.
    if (m_segments.empty() || segment.header->firstIndex <= recovered.baseIndex) {
        recovered.entries.clear();
        recovered.baseIndex = segment.header->firstIndex - 1;
        recovered.baseTerm = segment.header->previousTerm;
    }
    for (const v1::StoredBatch &batch : segment.batches) {
        const Index first = batch.entries(0).index();
        if (first <= recovered.baseIndex || first > recovered.baseIndex + recovered.entries.size() + 1) {
            return damagedError(path, 0, "entry " + std::to_string(first) + " doesn't follow the one before it");
        }
        recovered.entries.resize(first - recovered.baseIndex - 1);
        for (const v1::LogEntry &entry : batch.entries()) {
            recovered.entries.push_back(std::make_shared<const v1::LogEntry>(entry));
        }
    }
    m_segments.push_back(Segment{.path = path, .header = *segment.header, .size = segment.validBytes});
    // The remaining bytes are a write that was never acknowledged.
    return segment.validBytes == valueOf(bytes).size() ? Result<Done>(Done{}) : m_files.truncate(path, segment.validBytes);
}

/// Removes a log that contradicts the snapshot: a crash during the installation of a snapshot leaves the log that the snapshot replaces.
template<FileSystem F>
Result<Done> FileStorage<F>::reconcileWithSnapshot(Recovered &recovered)
{
    const Index snapshotIndex = recovered.snapshot ? recovered.snapshot->index : 0;
    const Term snapshotTerm = recovered.snapshot ? recovered.snapshot->term : 0;
    if (m_segments.empty() || recovered.baseIndex > snapshotIndex) {
        if (!m_segments.empty()) {
            return damagedError(m_segments.front().path, 0, "the entries between the snapshot and this file are missing");
        }
        recovered.baseIndex = snapshotIndex;
        recovered.baseTerm = snapshotTerm;
    }
    const Index position = snapshotIndex - recovered.baseIndex;
    const bool coversSnapshot = position <= recovered.entries.size();
    const Term logTerm = !coversSnapshot ? 0 : position == 0 ? recovered.baseTerm : recovered.entries[position - 1]->term();
    if (!coversSnapshot || logTerm != snapshotTerm) {
        if (auto removed = removeSegments(m_segments.size()); !ok(removed)) {
            return removed;
        }
        recovered.entries.clear();
        recovered.baseIndex = snapshotIndex;
        recovered.baseTerm = snapshotTerm;
    }
    m_entryTerms[recovered.baseIndex] = recovered.baseTerm;
    for (const EntryPointer &entry : recovered.entries) {
        m_entryTerms[entry->index()] = entry->term();
    }
    return Done{};
}

template<FileSystem F>
Result<Done> FileStorage<F>::persist(const Writes &writes)
{
    Result<Done> done = Done{};
    if (writes.identity) {
        v1::StoredIdentity identity;
        identity.set_incarnation(writes.identity->incarnation);
        identity.set_admitted(writes.identity->admitted);
        done = replaceRecord("identity", identity);
    }
    if (ok(done) && writes.vote) {
        v1::StoredVote vote;
        vote.set_term(writes.vote->term);
        vote.set_voted_for(writes.vote->votedFor.value);
        done = replaceRecord("vote", vote);
    }
    if (ok(done) && writes.snapshot) {
        done = writeSnapshot(*writes.snapshot);
    }
    if (ok(done) && writes.snapshot && writes.resetLog) {
        done = removeSegments(m_segments.size());
        m_entryTerms = {{writes.snapshot->index, writes.snapshot->term}};
    }
    if (ok(done) && !writes.entries.empty()) {
        done = appendEntries(writes.entries);
    }
    return done;
}

template<FileSystem F>
Result<Done> FileStorage<F>::writeSnapshot(const Snapshot &snapshot)
{
    v1::StoredSnapshot stored;
    stored.set_index(snapshot.index);
    stored.set_term(snapshot.term);
    *stored.mutable_membership() = snapshot.membership;
    stored.set_state(snapshot.state);
    return replaceRecord("snapshot", stored);
}

template<FileSystem F>
std::string FileStorage<F>::nextSegmentPath()
{
    std::array<char, 32> name{};
    std::snprintf(name.data(), name.size(), "/%010llu.segment", static_cast<unsigned long long>(m_nextSegmentNumber++));
    return m_folder + name.data();
}

template<FileSystem F>
Result<Done> FileStorage<F>::appendEntries(const std::vector<EntryPointer> &entries)
{
    v1::StoredBatch batch;
    for (const EntryPointer &entry : entries) {
        *batch.add_entries() = *entry;
    }
    const Index first = entries.front()->index();
    std::string bytes = encodeFrame(batch.SerializeAsString());
    // A segment holds no entry before its first index; otherwise recovery would miss the start of the log after older segments are removed.
    const bool startsSegment = m_segments.empty() || m_segments.back().size >= MaxSegmentBytes || first < m_segments.back().header.firstIndex;
    if (startsSegment) {
        const SegmentHeader header{.firstIndex = first, .previousTerm = m_entryTerms[first - 1]};
        m_segments.push_back(Segment{.path = nextSegmentPath(), .header = header});
        bytes.insert(0, encodeSegmentHeader(header));
    }
    Segment &segment = m_segments.back();
    Result<Done> done = m_files.write(segment.path, segment.size, bytes);
    if (ok(done) && startsSegment) {
        done = m_files.syncFolder(m_folder);
    }
    if (!ok(done)) {
        // A repeated call starts the same file anew: a torn file in the middle of the log would be taken for damage.
        if (startsSegment) {
            m_segments.pop_back();
            --m_nextSegmentNumber;
        }
        return done;
    }
    segment.size += bytes.size();
    m_entryTerms.erase(m_entryTerms.lower_bound(first), m_entryTerms.end());
    for (const EntryPointer &entry : entries) {
        m_entryTerms[entry->index()] = entry->term();
    }
    return done;
}

/// Removes the first segments. When all are removed, the newest goes first, so that a crash leaves the start of the log; otherwise the
/// oldest goes first. Each removal is synced before the next: a disk may write them in any order, and a log with a hole looks damaged.
template<FileSystem F>
Result<Done> FileStorage<F>::removeSegments(std::size_t count)
{
    const bool removesAll = count == m_segments.size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto segment = removesAll ? std::prev(m_segments.end()) : m_segments.begin();
        if (auto removed = m_files.remove(segment->path); !ok(removed)) {
            return removed;
        }
        m_segments.erase(segment);
        if (auto synced = m_files.syncFolder(m_folder); !ok(synced)) {
            return synced;
        }
    }
    return Done{};
}

template<FileSystem F>
Result<Done> FileStorage<F>::saveSnapshot(const SnapshotPointer &snapshot, Index keepAfter)
{
    if (auto written = writeSnapshot(*snapshot); !ok(written)) {
        return written;
    }
    // The log may start at a segment that begins no later than keepAfter + 1, provided that no later segment starts further back.
    std::size_t count = 0;
    Index earliestIndex = keepAfter + 1;
    for (std::size_t position = m_segments.size(); position-- > 0;) {
        if (m_segments[position].header.firstIndex <= earliestIndex) {
            earliestIndex = m_segments[position].header.firstIndex;
            count = std::max(count, position);
        }
    }
    if (count > 0) {
        m_entryTerms.erase(m_entryTerms.begin(), m_entryTerms.lower_bound(m_segments[count].header.firstIndex - 1));
    }
    return removeSegments(count);
}

}
