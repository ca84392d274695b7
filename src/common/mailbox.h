#pragma once

#include "common/eventloop.h"

#include <event2/event.h>

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace cumindyke
{

/// Queue of messages from any thread to the task that owns the loop: the only way to pass data into a task. The handler runs in the loop's
/// thread, one message at a time, in the order of post().
template<typename Message>
class Mailbox
{
public:
    Mailbox(EventLoop &loop, std::function<void(Message &&)> handler)
        : m_handler(std::move(handler))
        , m_event(event_new(loop.base(), -1, EV_PERSIST, &Mailbox::onActivated, this))
    {
    }
    ~Mailbox()
    {
        event_free(m_event);
    }
    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /// Enqueues a message. Safe from any thread during the lifetime of the mailbox.
    void post(Message message)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            wasEmpty = m_queue.empty();
            m_queue.push_back(std::move(message));
        }
        if (wasEmpty) {
            event_active(m_event, EV_WRITE, 0);
        }
    }

private:
    static void onActivated(int /*fd*/, short /*what*/, void *self)
    {
        static_cast<Mailbox *>(self)->handleAll();
    }

    void handleAll()
    {
        std::vector<Message> batch;
        {
            const std::lock_guard lock(m_mutex);
            batch.swap(m_queue);
        }
        for (Message &message : batch) {
            m_handler(std::move(message));
        }
    }

    std::function<void(Message &&)> m_handler;
    event *m_event;
    std::mutex m_mutex;
    std::vector<Message> m_queue;
};

}
