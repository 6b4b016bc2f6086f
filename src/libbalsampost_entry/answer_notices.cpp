// Reads the notices in an answer.
#include "balsampost/entry/answer_notices.h"

namespace balsampost::entry {

namespace {

constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;

} // namespace

core::server_notice notices_in(const http_reply& reply, const platform& adapter) {
    core::server_notice out;
    if (reply.status == status_misdirected) {
        return out;
    }
    const auto view = [](net::beast::string_view text) { return std::string_view(text.data(), text.size()); };
    const auto& names = adapter.headers();
    const auto [first, last] = reply.headers.equal_range(names.leaving);
    for (auto field = first; field != last; ++field) {
        out.leaving = out.leaving || adapter.decode_leaving(view(field->value()));
    }
    if (reply.status != status_unavailable) {
        return out;
    }
    const auto [first_pause, last_pause] = reply.headers.equal_range(names.pause);
    for (auto field = first_pause; field != last_pause; ++field) {
        if (const auto pause = adapter.decode_pause(view(field->value()))) {
            out.pause = std::max(out.pause.value_or(core::milliseconds{0}), *pause);
        }
    }
    return out;
}

} // namespace balsampost::entry
