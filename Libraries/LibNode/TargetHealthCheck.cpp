#include <LibNode/TargetHealthCheck.h>

#include <LibBase/Logger.h>
#include <LibHttp/Client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace radishcross::node {

namespace {

namespace beast_http = boost::beast::http;

/// Bounds what a faulty target can make the node hold.
constexpr http::MessageLimits AnswerLimits{16UL << 10, 64UL << 10};

} // namespace

TargetHealthCheck::TargetHealthCheck(boost::asio::io_context &context,
                                     admission::TargetLeases &leases,
                                     HealthPathOf checkPathOf,
                                     std::function<void()> onProven)
    : Context(&context), Leases(&leases),
      FindHealthPath(std::move(checkPathOf)), OnProven(std::move(onProven)) {}

void TargetHealthCheck::ask() {
  bool isProven = false;
  for (auto &it : Leases->inDoubt()) {
    auto path = FindHealthPath(it.Service);
    if (path.empty())
      isProven = Leases->proveAlive(it.TargetId, it.Epoch) || isProven;
    else if (BeingAsked.insert(it.TargetId).second)
      boost::asio::co_spawn(*Context, check(std::move(it), std::move(path)),
                            boost::asio::detached);
  }
  if (isProven)
    OnProven();
}

boost::asio::awaitable<void>
TargetHealthCheck::check(fleet::TargetRecord target, std::string checkPath) {
  std::weak_ptr<bool> weak = LifetimeToken;
  http::Request request(beast_http::verb::get, checkPath, 11);
  base::LastReason reason;
  auto connection = std::make_shared<http::Connection>(
      boost::asio::ip::tcp::socket(*Context));
  auto answer = co_await http::fetchOver(std::move(connection), target.Where,
                                         std::move(request), Timeout, reason,
                                         AnswerLimits);
  if (weak.expired())
    co_return;
  BeingAsked.erase(target.TargetId);
  bool isHealthy = answer && answer->result() == beast_http::status::ok;
  base::log(base::LogLevel::Info, "target asked whether it is leaving",
            {{"target", target.TargetId},
             {"status", std::to_string(answer ? answer->result_int() : 0)},
             {"reason", reason.text()}});
  if (isHealthy && Leases->proveAlive(target.TargetId, target.Epoch))
    OnProven();
}

} // namespace radishcross::node
