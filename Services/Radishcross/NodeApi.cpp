#include "NodeApi.h"

#include "Flags.h"

#include <LibBase/Address.h>
#include <LibHttp/Client.h>

#include <absl/flags/flag.h>
#include <boost/json/parse.hpp>
#include <cstdlib>

namespace radishcross::cli {

namespace {

namespace beast = boost::beast::http;
namespace json = boost::json;
using base::ResultCode;

constexpr const char *DefaultNode = "127.0.0.1:9900";
constexpr base::Duration ResponseTimeout = std::chrono::seconds(15);

std::string setting(const std::string &flag, const char *variable,
                    const char *fallback) {
  if (!flag.empty())
    return flag;
  const char *value = std::getenv(variable);
  return value ? value : fallback;
}

/// Returns the code in the node's document, or one that fits the HTTP status.
ResultCode codeOf(unsigned status, const json::value &document) {
  if (document.is_object())
    if (const auto *code = document.as_object().if_contains("code"))
      if (code->is_int64() && status != 200)
        return static_cast<ResultCode>(code->as_int64());
  return status == 200 ? ResultCode::Ok : ResultCode::Internal;
}

std::string reasonOf(const NodeResponse &answer) {
  if (answer.Document.is_object())
    if (const auto *text = answer.Document.as_object().if_contains("reason"))
      if (text->is_string())
        return std::string(text->as_string());
  return "the node returned no reason";
}

} // namespace

std::optional<NodeResponse> sendToAddress(const std::string &where,
                                          beast::verb method,
                                          const std::string &target,
                                          std::string body,
                                          base::LastReason &reason) {
  auto address = where.empty() ? setting(absl::GetFlag(FLAGS_node),
                                         "RADISHCROSS_NODE", DefaultNode)
                               : where;
  auto server = base::parseAddress(address, reason);
  if (!server)
    return reason.fail(ResultCode::BadAddress, "--node: " + reason.text());
  http::Request request(method, target, 11);
  request.set(beast::field::host, server->text());
  auto token = setting(absl::GetFlag(FLAGS_token), "RADISHCROSS_TOKEN", "");
  if (!token.empty())
    request.set(beast::field::authorization, "Bearer " + token);
  if (!body.empty())
    request.set(beast::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  auto response =
      http::fetchBlocking(*server, std::move(request), ResponseTimeout, reason);
  if (!response)
    return std::nullopt;
  NodeResponse out;
  out.Text = std::move(response->body());
  boost::system::error_code ec;
  out.Document = json::parse(out.Text, ec);
  out.Code = codeOf(response->result_int(), out.Document);
  return out;
}

std::optional<NodeResponse> sendToNode(beast::verb method,
                                       const std::string &target,
                                       std::string body,
                                       base::LastReason &reason) {
  return sendToAddress("", method, target, std::move(body), reason);
}

std::optional<NodeResponse> getFromNode(const std::string &target,
                                        base::LastReason &reason,
                                        const std::string &where) {
  auto answer = sendToAddress(where, beast::verb::get, target, "", reason);
  if (answer && answer->Code != ResultCode::Ok)
    return reason.fail(answer->Code, reasonOf(*answer));
  return answer;
}

} // namespace radishcross::cli
