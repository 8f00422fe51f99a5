#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string_view>
#include <utility>

namespace radishcross::http {

class AnswerRest;

using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// A response. With a rest its body is only the beginning of the whole one.
struct Response
    : boost::beast::http::response<boost::beast::http::string_body> {
  using Whole = boost::beast::http::response<boost::beast::http::string_body>;
  using Whole::Whole;
  Response() = default;
  Response(Whole &&whole) : Whole(std::move(whole)) {}

  std::shared_ptr<AnswerRest> Rest; ///< Null: the body is whole.
};

/// Returns the value of the first field named \p name, or an empty view.
inline std::string_view fieldOf(const boost::beast::http::fields &fields,
                                std::string_view name) {
  auto it = fields.find(name);
  if (it == fields.end())
    return {};
  return {it->value().data(), it->value().size()};
}

} // namespace radishcross::http
