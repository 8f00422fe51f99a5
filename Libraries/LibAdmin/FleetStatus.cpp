#include <LibAdmin/FleetStatus.h>

#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <tuple>

namespace radishcross::admin {

namespace {

namespace asio = boost::asio;

constexpr size_t MaximumConcurrency = 64;

/// State shared by the workers of one fleet query.
struct QueryProgress {
  std::vector<MemberResponse> Answers;
  size_t Next = 0;
  size_t ActiveWorkers = 0;
  FleetQuery Query;
  SendRequest Send;
  std::chrono::steady_clock::time_point Deadline;
  std::unique_ptr<asio::steady_timer> AllDone;
};

bool isQueried(const fleet::Member &member) {
  return member.State == fleet::MemberState::Alive ||
         member.State == fleet::MemberState::Suspect;
}

asio::awaitable<void> queryMember(const QueryProgress &progress,
                                  MemberResponse &answer) {
  namespace beast = boost::beast::http;
  const auto &query = progress.Query;
  http::Request request(beast::verb::get, query.Target, 11);
  const auto &server = answer.QueriedMember.Identity.Administration;
  request.set(beast::field::host, server.text());
  if (!query.Authorization.empty())
    request.set(beast::field::authorization, query.Authorization);
  auto got = co_await progress.Send(server, std::move(request),
                                    query.RequestTimeout, answer.Reason);
  if (!got)
    co_return;
  if (got->result() != beast::status::ok) {
    answer.Reason.fail(base::ResultCode::NodeUnreachable,
                       "the node responded with status " +
                           std::to_string(got->result_int()));
    co_return;
  }
  auto status = schema::parseStrictJson(got->body(), {}, answer.Reason);
  if (status && status->is_object())
    answer.Status = std::move(status->as_object());
}

asio::awaitable<void> runWorker(std::shared_ptr<QueryProgress> progress) {
  while (progress->Next < progress->Answers.size()) {
    auto &answer = progress->Answers[progress->Next++];
    if (!isQueried(answer.QueriedMember))
      answer.Reason.fail(base::ResultCode::NodeUnreachable,
                         "the node is " + std::string(base::nameOf(
                                              fleet::MemberStateNames,
                                              answer.QueriedMember.State)));
    else if (std::chrono::steady_clock::now() >= progress->Deadline)
      answer.Reason.fail(base::ResultCode::NodeUnreachable,
                         "the node was not queried in time");
    else
      co_await queryMember(*progress, answer);
  }
}

std::vector<MemberResponse>
initialResponses(std::vector<fleet::Member> members) {
  std::sort(members.begin(), members.end(), [](const auto &a, const auto &b) {
    return std::tie(a.Identity.DataCentre, a.Identity.Id) <
           std::tie(b.Identity.DataCentre, b.Identity.Id);
  });
  std::vector<MemberResponse> answers;
  for (auto &it : members)
    if (it.State != fleet::MemberState::Left)
      answers.push_back({std::move(it), {}, {}});
  return answers;
}

} // namespace

asio::awaitable<std::vector<MemberResponse>>
queryFleet(std::vector<fleet::Member> members, FleetQuery query,
           SendRequest send) {
  auto executor = co_await asio::this_coro::executor;
  auto progress = std::make_shared<QueryProgress>();
  progress->Answers = initialResponses(std::move(members));
  progress->Deadline = std::chrono::steady_clock::now() + query.TotalTimeout;
  progress->Query = std::move(query);
  progress->Send = std::move(send);
  progress->AllDone = std::make_unique<asio::steady_timer>(
      executor, std::chrono::steady_clock::time_point::max());
  progress->ActiveWorkers =
      std::min(MaximumConcurrency, progress->Answers.size());
  for (size_t i = progress->ActiveWorkers; i > 0; --i)
    asio::co_spawn(executor, runWorker(progress),
                   [progress](const std::exception_ptr &) {
                     if (--progress->ActiveWorkers == 0)
                       progress->AllDone->cancel();
                   });
  // Workers that never suspended may all have finished already.
  boost::system::error_code ec;
  if (progress->ActiveWorkers > 0)
    co_await progress->AllDone->async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  co_return std::move(progress->Answers);
}

} // namespace radishcross::admin
