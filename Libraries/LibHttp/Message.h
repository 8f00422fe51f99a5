#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string_view>

namespace radishcross::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

/// Returns the value of the first field named \p name, or an empty view.
inline std::string_view fieldOf(const boost::beast::http::fields &fields,
                                std::string_view name) {
  auto it = fields.find(name);
  if (it == fields.end())
    return {};
  return {it->value().data(), it->value().size()};
}

} // namespace radishcross::http
