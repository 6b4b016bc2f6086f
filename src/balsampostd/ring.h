// A bounded queue from one producer thread to one consumer thread (SPSC ring buffer).
#pragma once

#include "balsampost/net/asio.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>

namespace balsampost::daemon {

/// Passes items to the thread that runs the consumer's io_context. Items pushed while a wake-up is scheduled
/// are consumed by that wake-up, so that a batch costs one post.
template <class Item>
class ring {
public:
    /// Calls `consume` on `consumer` for each item, in the order of the pushes.
    ring(net::asio::io_context& consumer, std::size_t capacity, std::function<void(Item&)> consume)
        : m_consumer(consumer), m_queue(capacity), m_consume(std::move(consume)) {}

    /// Appends an item. Returns false and counts a rejected push if the queue is full. Must be called from
    /// one thread only.
    bool push(const Item& item) {
        if (!m_queue.push(item)) {
            m_rejected.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (!m_scheduled.exchange(true)) {
            net::asio::post(m_consumer, [this] { drain(); });
        }
        return true;
    }

    /// Returns the number of pushes rejected because the queue was full.
    std::uint64_t rejected_pushes() const { return m_rejected.load(std::memory_order_relaxed); }

private:
    void drain() {
        // Must precede the pops: otherwise an item pushed after the last pop would schedule no wake-up and
        // stay queued.
        m_scheduled.store(false);
        Item item;
        while (m_queue.pop(item)) {
            m_consume(item);
        }
    }

    net::asio::io_context& m_consumer;
    boost::lockfree::spsc_queue<Item> m_queue;
    std::function<void(Item&)> m_consume;
    std::atomic<bool> m_scheduled{false};
    std::atomic<std::uint64_t> m_rejected{0};
};

} // namespace balsampost::daemon
