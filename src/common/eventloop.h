#pragma once

#include "common/types.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace cumindyke
{

/// One libevent loop, run by one thread: the thread of the task that owns it.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop(). Call from the owning thread.
    void run();
    /// Ends run() after the callback in progress. Safe from any thread.
    void stop();
    /// Lets go of the object from the loop, after the callback in progress, or when the loop is destroyed. For what libevent still uses until
    /// its callback has returned. Call from the owning thread.
    void releaseLater(std::shared_ptr<void> last);
    event_base *base() const
    {
        return m_base;
    }
    /// A monotonic clock that also counts the time for which the VM was suspended, read where a task receives an event; decisions get it
    /// as an argument. By a clock that stands still meanwhile, a VM that wakes would take an ended lease for a good one.
    static TimePoint now();
    /// The wall clock, for what people declare and read.
    static WallTime wallNow();

private:
    static void release(int fd, short what, void *self);

    event_base *m_base;
    event *m_releaseEvent;
    std::vector<std::shared_ptr<void>> m_releasing;
};

/// A timer on a loop. Not safe from other threads. Destroying it cancels it.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Duration delay);
    void startEvery(Duration interval);
    /// Leaves one that runs as it is.
    void startOnceIfStopped(Duration delay);
    void stop();

private:
    static void fired(int fd, short what, void *self);
    void schedule(Duration delay);

    std::function<void()> m_callback;
    event *m_event;
    Duration m_interval{0};
};

}
