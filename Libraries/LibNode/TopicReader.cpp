#include <LibNode/TopicReader.h>

#include <LibBase/Logger.h>

#include <algorithm>
#include <utility>

namespace radishcross::node {

namespace {

fleet::TopicRead toTopicRead(const log::TopicAnswer &answer, uint64_t from) {
  fleet::TopicRead out;
  out.Reached = answer.Reached;
  out.Expired = answer.Expired;
  out.Unreachable = !answer.Reached &&
                    answer.Reason.code() == base::ResultCode::NodeUnreachable;
  out.Next = from;
  out.End = answer.End;
  for (const auto &it : answer.Records) {
    out.Next = std::max(out.Next, it.At + 1);
    out.Bytes += it.Value.size();
  }
  return out;
}

} // namespace

std::shared_ptr<TopicReader>
TopicReader::start(boost::asio::io_context &context, log::KeyedStore &store,
                   log::Topic topic, uint64_t seed, Events events,
                   fleet::TopicFollowerSettings settings) {
  auto out = std::make_shared<TopicReader>(context, store, topic, seed,
                                           std::move(events), settings);
  out->advance();
  return out;
}

TopicReader::TopicReader(boost::asio::io_context &context,
                         log::KeyedStore &store, log::Topic topic,
                         uint64_t seed, Events events,
                         fleet::TopicFollowerSettings settings)
    : Store(&store), SelectedTopic(topic), OnEvent(std::move(events)),
      Follower(settings, seed), Timer(context) {}

bool TopicReader::applyDuty() {
  if (!OnEvent.Duty)
    return true;
  auto duty = OnEvent.Duty();
  IsResting = duty.What == fleet::ReadDuty::Kind::None;
  if (IsResting)
    Follower.suspend();
  else
    Follower.setPace(duty.LongPoll, duty.Spacing, duty.LongestPause);
  return !IsResting;
}

void TopicReader::wake() {
  if (IsResting)
    advance();
}

void TopicReader::advance() {
  if (!applyDuty())
    return;
  auto step = Follower.next();
  if (step.What == fleet::TopicStep::Kind::List)
    return list();
  if (step.What == fleet::TopicStep::Kind::Follow)
    return follow(step);
  IsPausing = true;
  Timer.expires_after(step.Wait);
  Timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
    auto self = weak.lock();
    if (ec || !self || !self->IsPausing)
      return;
    self->IsPausing = false;
    self->advance();
  });
}

void TopicReader::listSoon() {
  if (!std::exchange(IsPausing, false))
    return Follower.listNow();
  Timer.cancel();
  advance();
}

void TopicReader::list() {
  AnswerDue = base::SystemClock().now();
  Store->list(SelectedTopic,
              [weak = weak_from_this(), startedAt = base::BootClock().now()](
                  const log::TopicAnswer &answer) {
                auto self = weak.lock();
                if (!self)
                  return;
                auto read = toTopicRead(answer, 0);
                self->handleAnswer(answer, "list", read, {startedAt, {}});
                self->Follower.listed(read);
                self->advance();
              });
}

void TopicReader::follow(const fleet::TopicStep &step) {
  AnswerDue = base::SystemClock().now() + step.Wait;
  Store->follow(
      SelectedTopic, step.From, step.Wait,
      [weak = weak_from_this(), from = step.From, wait = step.Wait,
       startedAt = base::BootClock().now()](const log::TopicAnswer &answer) {
        auto self = weak.lock();
        if (!self)
          return;
        auto read = toTopicRead(answer, from);
        fleet::RecordReading reading{startedAt, {}};
        if (answer.Records.empty())
          reading.HeldUntil =
              std::min(startedAt + wait, base::BootClock().now());
        self->handleAnswer(answer, "follow", read, reading);
        self->Follower.followed(read);
        self->advance();
      });
}

void TopicReader::handleAnswer(const log::TopicAnswer &answer,
                               std::string_view operation,
                               const fleet::TopicRead &read,
                               const fleet::RecordReading &reading) {
  AnswerDue.reset();
  bool isReachable = answer.Reached || answer.Expired;
  if (isReachable)
    LastAnswerAt = base::SystemClock().now();
  if (isReachable != std::exchange(IsReachable, isReachable))
    base::log(
        isReachable ? base::LogLevel::Info : base::LogLevel::Warning,
        isReachable ? "store regained" : "store lost",
        {{"topic", std::string(base::nameOf(log::TopicNames, SelectedTopic))},
         {"read", std::string(operation)},
         {"reason", answer.Reason.text()}});
  for (const auto &it : answer.Records)
    OnEvent.RecordRead(it);
  bool isCaughtUp =
      answer.Reached && (operation == "list" || read.Next >= answer.End);
  if (isCaughtUp && OnEvent.CaughtUp)
    OnEvent.CaughtUp(reading);
}

} // namespace radishcross::node
