#pragma once

#include <LibBase/Hash.h>
#include <LibHttp/Client.h>
#include <LibNode/StoreMesh.h>

#include <boost/asio/co_spawn.hpp>
#include <optional>
#include <string>

namespace radishcross::test {

/// A version with one service and the tenant "acme", whose key is "the key".
inline config::VersionContent contentWithTenant(uint32_t ratePerSecond = 0,
                                                bool hasKey = true) {
  config::VersionContent out;
  out.Services = {{"quotes", {}}};
  out.Routes = {{"quotes", {{}, "", "/quotes"}, "quotes"}};
  config::Tenant tenant;
  tenant.Name = "acme";
  if (hasKey)
    tenant.KeyHashes = {base::sha256Hex("the key")};
  tenant.RatePerSecond = ratePerSecond;
  tenant.Burst = ratePerSecond;
  out.Tenants = {tenant};
  return out;
}

/// Returns the status of a request with the tenant's key at a node; 0: no
/// answer.
inline unsigned statusWithKey(StoreMesh &mesh, const std::string &node) {
  http::Request request(boost::beast::http::verb::get, "/quotes", 11);
  request.set("Host", "any");
  request.set(calls::CallHeaders().Key, "the key");
  std::optional<unsigned> status;
  boost::asio::co_spawn(
      mesh.Context,
      [&]() -> boost::asio::awaitable<unsigned> {
        base::LastReason reason;
        auto out = co_await http::fetch(mesh.Nodes.at(node)->callsAddress(),
                                        request, 5s, reason);
        co_return out ? out->result_int() : 0;
      },
      [&](const std::exception_ptr &, unsigned got) { status = got; });
  REQUIRE(mesh.runUntil([&] { return status.has_value(); }));
  return *status;
}

} // namespace radishcross::test
