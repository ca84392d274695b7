#include "common/eventloop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <ctime>
#include <mutex>
#include <stdexcept>

namespace cumindyke
{

EventLoop::EventLoop()
{
    static std::once_flag threadingInitialised;
    std::call_once(threadingInitialised, [] { evthread_use_pthreads(); });
    m_base = event_base_new();
    if (!m_base) {
        throw std::runtime_error("the event loop can't be created: raise the limit of open files");
    }
    m_releaseEvent = event_new(m_base, -1, 0, &EventLoop::releaseObjects, this);
}

EventLoop::~EventLoop()
{
    // Releasing an object may add further objects.
    while (!m_objectsToRelease.empty()) {
        releaseObjects(-1, 0, this);
    }
    event_free(m_releaseEvent);
    event_base_free(m_base);
}

void EventLoop::releaseLater(std::shared_ptr<void> object)
{
    m_objectsToRelease.push_back(std::move(object));
    event_active(m_releaseEvent, EV_TIMEOUT, 0);
}

void EventLoop::releaseObjects(int /*fd*/, short /*what*/, void *self)
{
    std::vector<std::shared_ptr<void>> objects;
    objects.swap(static_cast<EventLoop *>(self)->m_objectsToRelease);
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

TimePoint EventLoop::now()
{
    timespec sinceBoot{};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(sinceBoot.tv_sec) + std::chrono::nanoseconds(sinceBoot.tv_nsec)));
}

WallTime EventLoop::wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime{std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

Timer::Timer(EventLoop &loop, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(event_new(loop.base(), -1, 0, &Timer::onTimeout, this))
{
}

Timer::~Timer()
{
    event_free(m_event);
}

void Timer::startOnce(Duration delay)
{
    m_interval = Duration::zero();
    schedule(delay);
}

void Timer::startEvery(Duration interval)
{
    m_interval = interval;
    schedule(interval);
}

void Timer::startOnceIfStopped(Duration delay)
{
    if (!event_pending(m_event, EV_TIMEOUT, nullptr)) {
        startOnce(delay);
    }
}

void Timer::stop()
{
    m_interval = Duration::zero();
    event_del(m_event);
}

void Timer::onTimeout(int /*fd*/, short /*what*/, void *self)
{
    auto *timer = static_cast<Timer *>(self);
    if (timer->m_interval > Duration::zero()) {
        timer->schedule(timer->m_interval);
    }
    timer->m_callback();
}

void Timer::schedule(Duration delay)
{
    const auto microseconds = std::max<Duration::rep>(delay.count(), 0);
    const timeval timeout{.tv_sec = microseconds / 1'000'000, .tv_usec = microseconds % 1'000'000};
    event_add(m_event, &timeout);
}

}
