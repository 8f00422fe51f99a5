#include <LibHttp/AnswerRest.h>

#include <algorithm>
#include <utility>

namespace radishcross::http {

namespace asio = boost::asio;

AnswerRest::AnswerRest(ConnectionPointer server,
                       std::unique_ptr<ResponseParser> parser, size_t lineBytes)
    : Server(std::move(server)), Parser(std::move(parser)),
      LineBytes(lineBytes), GivenAt(Time.now()), ProgressAt(GivenAt) {
  if (const auto n = Parser->content_length())
    WholeBytes = *n;
  Server->clearDeadline();
  Server->limitReceiveWindow();
}

asio::awaitable<bool> AnswerRest::read(std::string &part) {
  part.clear();
  if (End)
    co_return isWhole();
  const auto began = Time.now();
  AwaitedReader += began - GivenAt;
  IsReading = true;
  Server->expireAfter(Left);
  base::LastReason reason;
  const auto got = co_await Server->readMore(*Parser, LineBytes, reason);
  IsReading = false;
  GivenAt = ProgressAt = Time.now();
  Left -= GivenAt - began;
  if (End)
    co_return false;
  if (got != ReadStatus::Complete) {
    finish(RestEnd::Broken);
    co_return false;
  }
  Server->clearDeadline();
  part = std::move(Parser->get().body());
  Parser->get().body().clear();
  if (Parser->is_done())
    finish(RestEnd::Whole);
  co_return true;
}

void AnswerRest::abandon() { finish(RestEnd::Abandoned); }

void AnswerRest::finish(RestEnd end) {
  if (End)
    return;
  End = end;
  EndReader = nullptr;
  if (end != RestEnd::Whole)
    Server->close();
  for (const auto &it : std::exchange(OnEnd, {}))
    it(end, AwaitedReader);
}

void AnswerRest::startPassingOn(std::function<void()> endReader) {
  EndReader = std::move(endReader);
  IsPassedOn = true;
  noteProgress();
}

base::Duration AnswerRest::stalledFor(base::TimePoint now) const {
  if (IsReading || End)
    return {};
  const auto since = IsPassedOn ? ProgressAt : ProgressAt + MaxWaitForTurn;
  return std::max(now - since, base::Duration::zero());
}

void AnswerRest::giveWay() {
  auto end = std::exchange(EndReader, nullptr);
  abandon();
  if (end)
    end();
}

} // namespace radishcross::http
