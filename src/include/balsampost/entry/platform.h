// What the entry needs of a platform: its object store, the decoding of what stands there, and the words in
// which callers and backend servers are spoken to. An adapter implements these; no decision and no retry is
// made there.
#pragma once

#include "balsampost/core/backend_directory.h"
#include "balsampost/core/error.h"
#include "balsampost/core/key_coordinator.h"
#include "balsampost/core/manifest.h"
#include "balsampost/core/server_selection.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsampost::entry {

struct stored_object {
    std::string name;
    std::uint64_t revision = 0; ///< Of its last change.
    std::string value;          ///< As it was written.
};

struct object_list {
    std::vector<stored_object> objects;
    std::uint64_t revision = 0; ///< Of the store, to watch from.
};

struct object_change {
    stored_object object;
    bool removed = false;
};

struct object_changes {
    std::vector<object_change> changes; ///< In order; none if the wait ran out.
    std::uint64_t revision = 0;
};

enum class store_fault : std::uint8_t {
    conflict,     ///< The object is not as the condition says. Nothing was done.
    history_gone, ///< Changes since that revision are not known any more: list again.
    refused,      ///< The store turned the call away. Nothing was done.
    not_sent,     ///< The store could not be reached. Nothing was done.
    unknown,      ///< No answer: it may have been done, or may be done later.
    malformed,    ///< The answer could not be read.
};

const char* to_string(store_fault fault);

template <class T>
using store_result = tl::expected<T, store_fault>;
template <class T>
using store_handler = std::function<void(store_result<T>)>;

/// Objects by kind and name, with conditional writes and watches. Handlers run on the thread that calls.
class object_store {
public:
    virtual ~object_store() = default;

    virtual void list(const std::string& kind, store_handler<object_list> done) = 0;
    /// Changes of `kind` after `revision`; waits up to `wait` for the first.
    virtual void watch(const std::string& kind, std::uint64_t revision, core::milliseconds wait,
                       store_handler<object_changes> done) = 0;
    /// Nothing if there is no such object. `stale`: seconds of age will do.
    virtual void read(const std::string& kind, const std::string& name, bool stale,
                      store_handler<std::optional<stored_object>> done) = 0;
    /// Writes if the object is still of `if_revision` (0: if there is none); gives its new revision.
    virtual void write(const std::string& kind, const std::string& name, const std::string& value,
                       std::uint64_t if_revision, store_handler<std::uint64_t> done) = 0;
};

/// Where the platform keeps what it and the operator write.
struct platform_kinds {
    std::string backends;
    std::string manifests;
    std::string manifest_name; ///< Of the newest manifest.
};

/// Names of the headers that callers, this system and backend servers exchange.
struct header_names {
    std::string request_id;      ///< Of one attempt of a caller.
    std::string deadline_ms;     ///< Time left, in ms.
    std::string shard_key;       ///< Key of a request to a keyed service.
    std::string expected_server; ///< Id of the only server that may run the request.
    std::string not_run;         ///< A server's word that it did not run the request.
    std::string load;            ///< A server's load.
    std::string integrity; ///< A server's code over its answer; without it, a success is not the server's.
    std::string handover;  ///< What the next owner of released keys is given.
};

struct encoded_call {
    std::string method;
    std::string target;
    std::string content_type;
    std::string body;
};

/// One platform.
class platform {
public:
    virtual ~platform() = default;

    virtual object_store& store() = 0;
    virtual const platform_kinds& kinds() const = 0;
    virtual const header_names& headers() const = 0;

    virtual core::result<core::backend> decode_backend(const stored_object& object) const = 0;
    virtual core::result<core::manifest> decode_manifest(const stored_object& object) const = 0;
    virtual std::optional<core::load_report> decode_load(std::string_view text) const = 0;
    virtual encoded_call encode(const core::send_grant& grant) const = 0;
    virtual encoded_call encode(const core::send_release& release) const = 0;
};

} // namespace balsampost::entry
