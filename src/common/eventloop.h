#pragma once

#include "common/types.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace cumindyke
{

/// A libevent loop, run by a single thread: the thread of the task that owns it.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called. Call from the owning thread.
    void run();
    /// Makes run() return after the callback in progress. Safe from any thread.
    void stop();
    /// Releases the object from the loop after the callback in progress, or when the loop is destroyed. For objects that libevent uses
    /// until its callback has returned. Call from the owning thread.
    void releaseLater(std::shared_ptr<void> object);
    event_base *base() const
    {
        return m_base;
    }
    /// Returns the time of a monotonic clock that also counts while the VM is suspended. Read where a task receives an event; decisions get
    /// the time as an argument. With a clock that stops during suspension, a resumed VM would take an expired lease for a valid one.
    static TimePoint now();
    /// Returns the wall-clock time, for times that people declare and read.
    static WallTime wallNow();

private:
    static void releaseObjects(int fd, short what, void *self);

    event_base *m_base;
    event *m_releaseEvent;
    std::vector<std::shared_ptr<void>> m_objectsToRelease;
};

/// A timer on an event loop. Not thread-safe. Destroying it cancels it.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Duration delay);
    void startEvery(Duration interval);
    /// Does nothing if the timer is already running.
    void startOnceIfStopped(Duration delay);
    void stop();

private:
    static void onTimeout(int fd, short what, void *self);
    void schedule(Duration delay);

    std::function<void()> m_callback;
    event *m_event;
    Duration m_interval{0};
};

}
