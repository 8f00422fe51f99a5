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

constexpr size_t Concurrency = 64;

/// The state that the workers of one survey share.
struct Survey {
  std::vector<MemberAnswer> Answers;
  size_t Next = 0;
  size_t Working = 0;
  FleetQuestion Question;
  Ask Send;
  std::chrono::steady_clock::time_point GivesUpAt;
  std::unique_ptr<asio::steady_timer> AllDone;
};

bool isAsked(const fleet::Member &member) {
  return member.State == fleet::MemberState::Alive ||
         member.State == fleet::MemberState::Suspect;
}

asio::awaitable<void> askOne(const Survey &survey, MemberAnswer &answer) {
  namespace beast = boost::beast::http;
  const auto &question = survey.Question;
  http::Request request(beast::verb::get, question.Target, 11);
  const auto &server = answer.About.Identity.Administration;
  request.set(beast::field::host, server.text());
  if (!question.Authorization.empty())
    request.set(beast::field::authorization, question.Authorization);
  auto got = co_await survey.Send(server, std::move(request),
                                  question.AskTimeout, answer.Reason);
  if (!got)
    co_return;
  if (got->result() != beast::status::ok) {
    answer.Reason.fail(base::ResultCode::NodeUnreachable,
                       "the node answered with status " +
                           std::to_string(got->result_int()));
    co_return;
  }
  auto status = schema::parseStrictJson(got->body(), {}, answer.Reason);
  if (status && status->is_object())
    answer.Status = std::move(status->as_object());
}

asio::awaitable<void> work(std::shared_ptr<Survey> survey) {
  while (survey->Next < survey->Answers.size()) {
    auto &answer = survey->Answers[survey->Next++];
    if (!isAsked(answer.About))
      answer.Reason.fail(base::ResultCode::NodeUnreachable,
                         "the node is " +
                             std::string(base::nameOf(fleet::MemberStateNames,
                                                      answer.About.State)));
    else if (std::chrono::steady_clock::now() >= survey->GivesUpAt)
      answer.Reason.fail(base::ResultCode::NodeUnreachable,
                         "the node was not asked in time");
    else
      co_await askOne(*survey, answer);
  }
}

std::vector<MemberAnswer> unansweredOf(std::vector<fleet::Member> members) {
  std::sort(members.begin(), members.end(), [](const auto &a, const auto &b) {
    return std::tie(a.Identity.DataCentre, a.Identity.Id) <
           std::tie(b.Identity.DataCentre, b.Identity.Id);
  });
  std::vector<MemberAnswer> answers;
  for (auto &it : members)
    if (it.State != fleet::MemberState::Left)
      answers.push_back({std::move(it), {}, {}});
  return answers;
}

} // namespace

asio::awaitable<std::vector<MemberAnswer>>
askFleet(std::vector<fleet::Member> members, FleetQuestion question, Ask ask) {
  auto executor = co_await asio::this_coro::executor;
  auto survey = std::make_shared<Survey>();
  survey->Answers = unansweredOf(std::move(members));
  survey->GivesUpAt = std::chrono::steady_clock::now() + question.GivesUpAfter;
  survey->Question = std::move(question);
  survey->Send = std::move(ask);
  survey->AllDone = std::make_unique<asio::steady_timer>(
      executor, std::chrono::steady_clock::time_point::max());
  survey->Working = std::min(Concurrency, survey->Answers.size());
  for (size_t i = survey->Working; i > 0; --i)
    asio::co_spawn(executor, work(survey),
                   [survey](const std::exception_ptr &) {
                     if (--survey->Working == 0)
                       survey->AllDone->cancel();
                   });
  // Workers that never had to wait may all have ended by now.
  boost::system::error_code ec;
  if (survey->Working > 0)
    co_await survey->AllDone->async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  co_return std::move(survey->Answers);
}

} // namespace radishcross::admin
