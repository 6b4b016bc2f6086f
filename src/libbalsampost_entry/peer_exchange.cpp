// The datagram socket between instances and its two message types.
#include "balsampost/entry/peer_exchange.h"

#include "balsampost/entry/event_loop.h"
#include "balsampost/net/unpack.h"
#include "balsampost/telemetry/log.h"

#include <map>

namespace balsampost::entry {

using telemetry::event;
using udp = net::asio::ip::udp;

namespace {

constexpr std::size_t max_datagram_bytes = 60U << 10U;
enum class message_type : std::uint8_t { report = 1, update = 2 };

/// A table on the wire. Key ranges refer to servers by their position in `servers`, from 1; 0 stands for
/// none.
struct packed_table {
    std::uint64_t term = 0;
    std::uint64_t last_fence = 0;
    std::string coordinator;
    std::string coordinator_at;
    std::vector<std::pair<std::string, std::int64_t>> servers;
    std::vector<
        std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint64_t, std::vector<std::uint32_t>>>
        ranges;

    MSGPACK_DEFINE(term, last_fence, coordinator, coordinator_at, servers, ranges);
};

template <class T>
void pack_message(msgpack::sbuffer& out, message_type type, const T& message) {
    msgpack::pack(out, static_cast<std::uint8_t>(type));
    msgpack::pack(out, message);
}

} // namespace

std::string pack(const core::key_table& table) {
    packed_table out{
        table.term, table.last_fence, table.coordinator, core::to_string(table.coordinator_at), {}, {}};
    std::map<core::incarnation, std::uint32_t> indices;
    const auto index_of = [&](const core::incarnation& server) -> std::uint32_t {
        if (server.empty()) {
            return 0;
        }
        const auto [found, inserted] = indices.emplace(server, indices.size() + 1);
        if (inserted) {
            out.servers.emplace_back(server.id, server.started_ms);
        }
        return found->second;
    };
    for (const auto& run : table.ranges) {
        std::vector<std::uint32_t> previous;
        for (const auto& server : run.previous) {
            previous.push_back(index_of(server));
        }
        out.ranges.emplace_back(run.from, run.size(), index_of(run.owner), run.fence, std::move(previous));
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, out);
    return {buffer.data(), buffer.size()};
}

core::result<core::key_table> unpack_table(const std::string& bytes) {
    try {
        std::size_t offset = 0;
        const auto in = net::unpack_value(bytes, offset).get().as<packed_table>();
        core::key_table table;
        table.term = in.term;
        table.last_fence = in.last_fence;
        table.coordinator = in.coordinator;
        const auto at = core::parse_endpoint(in.coordinator_at);
        if (!at) {
            return core::fail(core::error_code::protocol, "coordinator_at: " + at.error());
        }
        table.coordinator_at = *at;
        std::vector<core::incarnation> servers{{}};
        for (const auto& [id, started_ms] : in.servers) {
            servers.push_back({id, started_ms});
        }
        for (const auto& [from, size, owner, fence, previous] : in.ranges) {
            if (from >= core::key_count || size == 0 || size > core::key_count - from) {
                return core::fail(core::error_code::protocol, "a key range is out of bounds");
            }
            core::key_range run{from, from + size - 1, servers.at(owner), fence, {}};
            for (const auto index : previous) {
                run.previous.push_back(servers.at(index));
            }
            table.ranges.push_back(std::move(run));
        }
        return table;
    } catch (const std::exception& e) {
        return core::fail(core::error_code::protocol, e.what());
    }
}

void peer_exchange::start(const core::endpoint& at) {
    const udp::endpoint address(net::asio::ip::make_address(at.address), at.port);
    udp::socket socket(m_socket.get_executor());
    socket.open(address.protocol());
    socket.non_blocking(true);
    socket.bind(address);
    m_socket = std::move(socket);
    m_buffer.resize(max_datagram_bytes);
    receive();
}

void peer_exchange::receive() {
    m_socket.async_receive_from(
        net::asio::buffer(m_buffer), m_from, [this](net::error_code ec, std::size_t size) {
            if (ec == net::asio::error::operation_aborted) {
                return;
            }
            if (!ec) { // An error belongs to an earlier datagram that was not delivered.
                contained("datagram of a peer", [&] { received(size); });
            }
            receive();
        });
}

void peer_exchange::received(std::size_t size) {
    try {
        std::size_t offset = 0;
        const std::string_view bytes(m_buffer.data(), size);
        const auto type = net::unpack_value(bytes, offset).get().as<std::uint8_t>();
        const auto message = net::unpack_value(bytes, offset);
        const core::endpoint from{m_from.address().to_string(), m_from.port()};
        if (type == static_cast<std::uint8_t>(message_type::report)) {
            m_handlers.on_report(message.get().as<peer_report>(), from);
        } else if (type == static_cast<std::uint8_t>(message_type::update)) {
            m_handlers.on_update(message.get().as<peer_update>(), from);
        } else {
            telemetry::log(event::report_unusable,
                           {{"reason", "unknown message type"}, {"from", m_from.address().to_string()}});
        }
    } catch (const std::exception& e) {
        telemetry::log(event::report_unusable,
                       {{"reason", e.what()}, {"from", m_from.address().to_string()}});
    }
}

std::size_t peer_exchange::send(const core::endpoint& to, const peer_report& report) {
    msgpack::sbuffer out;
    pack_message(out, message_type::report, report);
    return send_bytes(to, out.data(), out.size());
}

std::size_t peer_exchange::send(const core::endpoint& to, const peer_update& update) {
    msgpack::sbuffer out;
    pack_message(out, message_type::update, update);
    return send_bytes(to, out.data(), out.size());
}

std::size_t peer_exchange::send_bytes(const core::endpoint& to, const char* data, std::size_t size) {
    if (to.port == 0) {
        return size; // Nobody to send to: not the socket's fault.
    }
    net::error_code ec;
    m_socket.send_to(net::asio::buffer(data, size), {net::asio::ip::make_address(to.address), to.port}, 0,
                     ec);
    if (ec) {
        telemetry::log(event::report_unusable,
                       {{"reason", "not sent: " + ec.message()}, {"to", core::to_string(to)}});
        // Only a full socket takes it later; any other error, such as a datagram that is too long, stays.
        return ec == net::asio::error::would_block || ec == net::asio::error::no_buffer_space ? 0 : size;
    }
    return size;
}

} // namespace balsampost::entry
