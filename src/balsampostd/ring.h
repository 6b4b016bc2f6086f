// A bounded ring from one thread to another. The consumer's io_context is woken once for a batch of items.
#pragma once

#include "balsampost/net/asio.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <functional>

namespace balsampost::daemon {

template <class Item>
class ring {
public:
    /// `consume` runs on `consumer`, in the order of the pushes.
    ring(net::asio::io_context& consumer, std::size_t capacity, std::function<void(Item&)> consume)
        : m_consumer(consumer), m_queue(capacity), m_consume(std::move(consume)) {}

    /// From the one producing thread. False, and counted, if the ring is full.
    bool push(const Item& item) {
        if (!m_queue.push(item)) {
            m_refused.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (!m_scheduled.exchange(true)) {
            net::asio::post(m_consumer, [this] { drain(); });
        }
        return true;
    }

    std::uint64_t refused() const { return m_refused.load(std::memory_order_relaxed); }

private:
    void drain() {
        m_scheduled.store(false); // Before the pops: a later push schedules again.
        Item item;
        while (m_queue.pop(item)) {
            m_consume(item);
        }
    }

    net::asio::io_context& m_consumer;
    boost::lockfree::spsc_queue<Item> m_queue;
    std::function<void(Item&)> m_consume;
    std::atomic<bool> m_scheduled{false};
    std::atomic<std::uint64_t> m_refused{0};
};

} // namespace balsampost::daemon
