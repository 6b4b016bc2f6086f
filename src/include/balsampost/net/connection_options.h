// The fields of a message that belong to one connection only, as its `Connection` fields list them.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace balsampost::net {

/// The names listed by the `Connection` fields of one message. They are read once: a peer chooses both the
/// length of the list and the number of fields that are looked up in it.
class connection_options {
public:
    explicit connection_options(const boost::beast::http::fields& fields);

    /// Whether the field `name` belongs to this connection and must not be forwarded.
    bool contains(std::string_view name) const;
    /// Names in the list, without repetitions.
    std::size_t size() const { return m_names.size(); }

private:
    std::vector<std::string> m_names; // In lower case, ascending.
};

} // namespace balsampost::net
