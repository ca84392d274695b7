#pragma once

#include <string>

namespace cumindyke
{

/// A file in the data folder that exists from the start of a process to its planned stop, so that the next start can tell how the run before it ended. A
/// process that is ended by a signal or for its memory can't write a line itself. Without a data folder it does nothing.
class RunMarker
{
public:
    explicit RunMarker(const std::string &dataFolder);

    /// Whether a process of this folder ended without a planned stop: by a signal, for its memory, by a fatal error or a loss of power.
    bool isLeft() const;
    /// Call when the folder exists. Nothing is synced: after a loss of power the marker may be missing.
    void place() const;
    void clear() const;

private:
    const std::string m_file;
};

}
