#include <LibAdmin/Api.h>

#include <LibAdmin/Answers.h>
#include <LibAdmin/ApiHandlers.h>
#include <LibAdmin/ApiRequest.h>
#include <LibAdmin/TokenTable.h>
#include <LibBase/Logger.h>
#include <LibHttp/Client.h>

#include <algorithm>
#include <variant>

namespace radishcross::admin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast::http;
using base::ResultCode;

using SyncHandler = http::Response (ApiHandlers::*)(const ApiRequest &);
using AsyncHandler = ApiHandlers::AsyncResponse (ApiHandlers::*)(ApiRequest);

/// One resource of the API. "*" in a pattern matches any one path segment.
struct ApiRoute {
  beast::verb Method;
  std::vector<std::string_view> Pattern;
  std::optional<Role> Needs; ///< Empty: no token is required.
  std::variant<SyncHandler, AsyncHandler> Handle;
};

const std::vector<ApiRoute> &routes() {
  using enum beast::verb;
  using H = ApiHandlers;
  static const std::vector<ApiRoute> table = {
      {get, {"healthz"}, std::nullopt, &H::health},
      {get, {"readyz"}, std::nullopt, &H::readiness},
      {get, {"metrics"}, std::nullopt, &H::metrics},
      {get, {"v1", "status"}, Role::Reader, &H::status},
      {get, {"v1", "fleet-status"}, Role::Reader, &H::fleet},
      {get, {"v1", "members"}, Role::Reader, &H::members},
      {get, {"v1", "configurations"}, Role::Reader, &H::configurations},
      {get, {"v1", "configurations", "*"}, Role::Reader, &H::configuration},
      {get,
       {"v1", "configurations", "*", "versions", "*"},
       Role::Reader,
       &H::version},
      {post, {"v1", "configurations", "*", "impact"}, Role::Reader, &H::impact},
      {post,
       {"v1", "configurations", "*", "versions"},
       Role::Publisher,
       &H::publish},
      {post, {"v1", "attachments"}, Role::Publisher, &H::attach},
      {post, {"v1", "attachments", "preview"}, Role::Reader, &H::previewAttach},
      {delete_, {"v1", "attachments", "*"}, Role::Publisher, &H::detach},
      {get, {"v1", "audit"}, Role::Reader, &H::audit},
      {get, {"v1", "records", "*"}, Role::Reader, &H::record},
      {post, {"v1", "drain"}, Role::Publisher, &H::drain},
      {post, {"v1", "drain-self"}, Role::Administrator, &H::drainSelf},
      {get, {"v1", "quarantine"}, Role::Reader, &H::quarantine},
      {delete_,
       {"v1", "quarantine", "*"},
       Role::Administrator,
       &H::liftQuarantine},
      {get, {"v1", "recording"}, Role::Administrator, &H::recording},
      {get, {"v1", "allotments"}, Role::Reader, &H::allotments},
      {get, {"v1", "route"}, Role::Reader, &H::route},
      {get, {"v1", "usage"}, Role::Reader, &H::usage},
  };
  return table;
}

bool matches(const ApiRoute &route, const std::vector<std::string> &segments) {
  return std::equal(route.Pattern.begin(), route.Pattern.end(),
                    segments.begin(), segments.end(),
                    [](std::string_view pattern, const std::string &segment) {
                      return pattern == "*" || pattern == segment;
                    });
}

std::vector<std::string> capturesOf(const ApiRoute &route,
                                    const std::vector<std::string> &segments) {
  std::vector<std::string> out;
  for (size_t i = 0; i < segments.size(); ++i)
    if (route.Pattern[i] == "*")
      out.push_back(segments[i]);
  return out;
}

} // namespace

struct Api::Implementation {
  NodeControl &Node;
  TokenTable Tokens;
  ApiHandlers Handlers;

  /// Returns the route of a request; fails with NotFound.
  const ApiRoute *find(beast::verb method, const ApiTarget &target,
                       base::LastReason &reason) const {
    for (const auto &it : routes())
      if (it.Method == method && matches(it, target.Segments))
        return &it;
    reason.fail(ResultCode::NotFound, "unknown resource or method");
    return nullptr;
  }

  /// Authenticates and authorises the request; refusals are logged and counted.
  bool isAllowed(const ApiRoute &route, ApiRequest &request,
                 base::LastReason &reason) {
    if (!route.Needs)
      return true;
    request.Credential = Tokens.find(request.Authorization, reason);
    if (request.Credential && allows(*request.Credential, *route.Needs, reason))
      return true;
    recordRefusal(request, reason);
    return false;
  }

  void recordRefusal(const ApiRequest &request,
                     const base::LastReason &reason) {
    auto name = base::describe(reason.code()).Name;
    ++Node.metrics().counter("administration_refused_total{reason=\"" +
                             std::string(name) + "\"}");
    base::log(base::LogLevel::Warning, "administration request refused",
              {{"reason", std::string(name)},
               {"peer", request.PeerHost},
               {"actor", request.Credential ? request.Credential->Name : ""}});
  }

  asio::awaitable<http::Response> handle(http::IncomingRequest incoming) {
    base::LastReason reason;
    auto &message = incoming.Message;
    auto target =
        parseTarget({message.target().data(), message.target().size()}, reason);
    const auto *route =
        target ? find(message.method(), *target, reason) : nullptr;
    if (!route)
      co_return errorResponse(reason);
    ApiRequest request;
    request.Authorization = std::string(message[beast::field::authorization]);
    request.PeerHost = incoming.Peer.Host;
    if (!isAllowed(*route, request, reason))
      co_return errorResponse(reason);
    request.Captures = capturesOf(*route, target->Segments);
    request.Query = std::move(target->Query);
    request.Body = std::move(message.body());
    if (const auto *syncHandler = std::get_if<SyncHandler>(&route->Handle))
      co_return (Handlers.**syncHandler)(request);
    co_return co_await (Handlers.*std::get<AsyncHandler>(route->Handle))(
        std::move(request));
  }
};

Api::Api(NodeControl &node, std::vector<Token> tokens, SendRequest send)
    : Impl(std::make_unique<Implementation>(
          Implementation{node, TokenTable(std::move(tokens)),
                         ApiHandlers(node, send ? std::move(send)
                                                : SendRequest(http::fetch))})) {
}

Api::~Api() = default;

asio::awaitable<http::Response> Api::handle(http::IncomingRequest request) {
  return Impl->handle(std::move(request));
}

} // namespace radishcross::admin
