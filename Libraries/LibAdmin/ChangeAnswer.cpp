#include <LibAdmin/ChangeAnswer.h>

#include <LibAdmin/Answers.h>
#include <LibAdmin/ImpactSurvey.h>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace radishcross::admin {

namespace {

namespace asio = boost::asio;

constexpr base::Duration ChangeTimeout = std::chrono::seconds(5);

/// Removes a record from the pending records when its request ends, also by an
/// exception.
class PendingRecordGuard {
public:
  PendingRecordGuard(PendingRecords &from, std::string id)
      : From(from), Id(std::move(id)) {}
  ~PendingRecordGuard() { From.erase(Id); }
  PendingRecordGuard(const PendingRecordGuard &) = delete;
  PendingRecordGuard &operator=(const PendingRecordGuard &) = delete;

private:
  PendingRecords &From;
  std::string Id;
};

/// Appends a record and waits for its outcome, at most ChangeTimeout.
asio::awaitable<ChangeOutcome> appendAndWait(NodeControl &node,
                                             log::Record record) {
  auto initiate = [&node, &record](auto handler) {
    auto executor = asio::get_associated_executor(handler);
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    node.change(std::move(record), ChangeTimeout,
                [shared, executor](ChangeOutcome outcome) {
                  asio::post(executor,
                             [shared, outcome = std::move(outcome)]() mutable {
                               (*shared)(std::move(outcome));
                             });
                });
  };
  return asio::async_initiate<const asio::use_awaitable_t<> &,
                              void(ChangeOutcome)>(initiate,
                                                   asio::use_awaitable);
}

} // namespace

asio::awaitable<http::Response> handleChange(NodeControl &node,
                                             ApiRequest request,
                                             ChangeSpec spec, SendRequest send,
                                             PendingRecords &pending) {
  base::LastReason reason;
  if (!node.ready()) {
    reason.fail(base::ResultCode::NotRecovered,
                "the node has not recovered its configuration yet");
    co_return errorResponse(reason);
  }
  // A repeated request gets the outcome of the first one, even if the state
  // has changed since.
  auto id = queryText(request, "record");
  if (auto known = node.fold().outcomeOf(id))
    co_return changeResponse(
        {ChangeOutcome::Kind::Accepted, std::move(id), std::move(*known)},
        node.fold());
  if (spec.RequiresImpactCheck) {
    auto refusal =
        co_await rejectHarmfulPublish(node, request, std::move(send));
    if (refusal)
      co_return std::move(*refusal);
  }
  auto record = spec.Build(request, node.fold(), reason);
  if (!record)
    co_return errorResponse(reason);
  if (!pending.insert(record->Id).second)
    co_return changeResponse({ChangeOutcome::Kind::Unknown, record->Id, {}},
                             node.fold());
  PendingRecordGuard guard{pending, record->Id};
  auto outcome = co_await appendAndWait(node, std::move(*record));
  co_return changeResponse(outcome, node.fold());
}

} // namespace radishcross::admin
