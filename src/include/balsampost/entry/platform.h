// Interface to the platform on which the router runs: the object store, the decoding of its objects, and the
// message format of callers and backend servers. An adapter implements it by translation only: it makes no
// decisions and no retries.
#pragma once

#include "balsampost/core/backend_directory.h"
#include "balsampost/core/error.h"
#include "balsampost/core/key_coordinator.h"
#include "balsampost/core/manifest.h"
#include "balsampost/core/server_selection.h"
#include "balsampost/core/store/revision.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsampost::entry {

struct stored_object {
    std::string name;
    core::store::revision revision; ///< Of the object's last change.
    std::string value;              ///< Content as written.
};

struct object_list {
    std::vector<stored_object> objects;
    core::store::revision revision; ///< From which to watch.
};

struct object_change {
    stored_object object;
    bool removed = false;
    /// Earliest time at which the change may have been made; `never` if nothing is known of it. Set by the
    /// watch.
    core::time_point not_before = core::never;
};

struct object_changes {
    std::vector<object_change> changes; ///< In order; empty if the wait timed out.
    core::store::revision revision;
};

enum class store_fault : std::uint8_t {
    conflict,     ///< The condition of a write does not hold. Nothing was done.
    history_gone, ///< The store no longer has the changes since that revision, or its epoch has ended: list
                  ///< again.
    refused,      ///< The store rejected the call. Nothing was done.
    not_sent,     ///< The store could not be reached. Nothing was done.
    unknown,      ///< No answer: the call may have been executed, or may still be.
    malformed,    ///< The answer could not be parsed.
};

const char* to_string(store_fault fault);

template <class T>
using store_result = tl::expected<T, store_fault>;
template <class T>
using store_handler = std::function<void(store_result<T>)>;

/// Store of objects by kind and name, with conditional writes and watches. Handlers run on the calling
/// thread. Results hold the epoch of the answer; late answers of an epoch that has ended are faults.
class object_store {
public:
    virtual ~object_store() = default;

    /// The newest epoch that this instance has heard of.
    virtual core::store::epoch epoch() const { return {}; }
    /// Another instance has heard of `e`. Revisions of earlier epochs are void.
    virtual void heard(core::store::epoch /*e*/) {}
    /// Sets the action to call with the earlier and the new epoch when a newer one is heard of, before the
    /// handler of the call whose answer states it.
    virtual void on_epoch(std::function<void(core::store::epoch, core::store::epoch)> /*action*/) {}

    virtual void list(const std::string& kind, store_handler<object_list> done) = 0;
    /// Reads the changes of `kind` after `revision`, waiting up to `wait` for the first.
    virtual void watch(const std::string& kind, const core::store::revision& revision,
                       core::milliseconds wait, store_handler<object_changes> done) = 0;
    /// Reads an object; the result is empty if there is none. `stale` accepts data that is some seconds old.
    virtual void read(const std::string& kind, const std::string& name, bool stale,
                      store_handler<std::optional<stored_object>> done) = 0;
    /// Writes the object if its revision is still `if_revision`, or creates it if that is 0 and there is
    /// none. The result is its new revision. A revision of an epoch that has ended is a conflict; if the
    /// epoch ends before the answer, the outcome is unknown.
    virtual void write(const std::string& kind, const std::string& name, const std::string& value,
                       const core::store::revision& if_revision,
                       store_handler<core::store::revision> done) = 0;
};

/// Names of the store's kinds and objects that the platform and the operator write.
struct platform_kinds {
    std::string backends;
    std::string manifests;
    std::string manifest_name; ///< Name of the object with the current manifest.
    std::string evacuations;   ///< One object for each evacuated failure domain, under its name.
};

/// Names of the headers that callers, this system and backend servers exchange.
struct header_names {
    /// Identifies one attempt of a caller.
    std::string request_id;
    /// Time left, in ms.
    std::string deadline_ms;
    /// Key of a request to a keyed service.
    std::string shard_key;
    /// Id of the only server that may run the request.
    std::string expected_server;
    /// Set by a server that did not run the request.
    std::string not_run;
    /// Load of the answering server.
    std::string load;
    /// Code that a server computes over its answer. A success without it did not come from the server.
    std::string integrity;
    /// Data that a server returns when it releases keys, for their next owner.
    std::string handover;
    /// Set by a server that leaves.
    std::string leaving;
    /// How long a server that turned a request away wants no other.
    std::string pause;
};

struct encoded_call {
    std::string method;
    std::string target;
    std::string content_type;
    std::string body;
};

/// Adapter to one platform.
class platform {
public:
    virtual ~platform() = default;

    virtual object_store& store() = 0;
    virtual const platform_kinds& kinds() const = 0;
    virtual const header_names& headers() const = 0;

    virtual core::result<core::backend> decode_backend(const stored_object& object) const = 0;
    virtual core::result<core::manifest> decode_manifest(const stored_object& object) const = 0;
    virtual std::optional<core::load_report> decode_load(std::string_view text) const = 0;
    /// Whether the value says that the server leaves.
    virtual bool decode_leaving(std::string_view text) const = 0;
    /// Returns the length of a pause that a server asks for, or nothing if the value is malformed.
    virtual std::optional<core::milliseconds> decode_pause(std::string_view text) const = 0;
    /// Returns the data for the next owner of released keys, or nothing if a server cannot have meant it.
    virtual std::optional<std::string> decode_handover(std::string_view text) const = 0;
    virtual encoded_call encode(const core::send_grant& grant) const = 0;
    virtual encoded_call encode(const core::send_release& release) const = 0;
};

} // namespace balsampost::entry
