// Reading and look-up of connection options.
#include "balsampost/net/connection_options.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>

namespace balsampost::net {

namespace http = boost::beast::http;

connection_options::connection_options(const http::fields& fields) {
    const auto [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field) {
        for (const auto& token : http::token_list(field->value())) {
            m_names.push_back(boost::algorithm::to_lower_copy(std::string(token)));
        }
    }
    std::sort(m_names.begin(), m_names.end());
    m_names.erase(std::unique(m_names.begin(), m_names.end()), m_names.end());
}

bool connection_options::contains(std::string_view name) const {
    return !m_names.empty() && std::binary_search(m_names.begin(), m_names.end(),
                                                  boost::algorithm::to_lower_copy(std::string(name)));
}

} // namespace balsampost::net
