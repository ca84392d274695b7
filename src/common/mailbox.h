#pragma once

#include "common/eventloop.h"

#include <event2/event.h>

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace cumindyke
{

/// Messages from any thread to the task that owns the loop: the only way into a task.
/// The handler runs in the loop's thread, one message at a time, in the order of post().
template<typename Message>
class Mailbox
{
public:
    Mailbox(EventLoop &loop, std::function<void(Message &&)> handler)
        : m_handler(std::move(handler))
        , m_event(event_new(loop.base(), -1, EV_PERSIST, &Mailbox::fired, this))
    {
    }
    ~Mailbox()
    {
        event_free(m_event);
    }
    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /// Safe from any thread while the mailbox lives.
    void post(Message message)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            wasEmpty = m_waiting.empty();
            m_waiting.push_back(std::move(message));
        }
        if (wasEmpty) {
            event_active(m_event, EV_WRITE, 0);
        }
    }

private:
    static void fired(int /*fd*/, short /*what*/, void *self)
    {
        static_cast<Mailbox *>(self)->drain();
    }

    void drain()
    {
        std::vector<Message> batch;
        {
            const std::lock_guard lock(m_mutex);
            batch.swap(m_waiting);
        }
        for (Message &message : batch) {
            m_handler(std::move(message));
        }
    }

    std::function<void(Message &&)> m_handler;
    event *m_event;
    std::mutex m_mutex;
    std::vector<Message> m_waiting;
};

}
