#include <LibNode/TopicReader.h>

#include <LibBase/Logger.h>

#include <algorithm>
#include <utility>

namespace radishcross::node {

namespace {

fleet::TopicRead readOf(const log::TopicAnswer &answer, uint64_t from) {
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
                   fleet::TopicFollowerSettings how) {
  auto out = std::make_shared<TopicReader>(context, store, topic, seed,
                                           std::move(events), how);
  out->go();
  return out;
}

TopicReader::TopicReader(boost::asio::io_context &context,
                         log::KeyedStore &store, log::Topic topic,
                         uint64_t seed, Events events,
                         fleet::TopicFollowerSettings how)
    : Store(&store), Which(topic), OnEvent(std::move(events)),
      Follower(how, seed), Timer(context) {}

bool TopicReader::takeDuty() {
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
    go();
}

void TopicReader::go() {
  if (!takeDuty())
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
    self->go();
  });
}

void TopicReader::listSoon() {
  if (!std::exchange(IsPausing, false))
    return Follower.listNow();
  Timer.cancel();
  go();
}

void TopicReader::list() {
  Store->list(Which, [weak = weak_from_this(), since = base::BootClock().now()](
                         const log::TopicAnswer &answer) {
    auto self = weak.lock();
    if (!self)
      return;
    auto read = readOf(answer, 0);
    self->answered(answer, "list", read, since);
    self->Follower.listed(read);
    self->go();
  });
}

void TopicReader::follow(const fleet::TopicStep &step) {
  Store->follow(
      Which, step.From, step.Wait,
      [weak = weak_from_this(), from = step.From,
       since = base::BootClock().now()](const log::TopicAnswer &answer) {
        auto self = weak.lock();
        if (!self)
          return;
        auto read = readOf(answer, from);
        self->answered(answer, "follow", read, since);
        self->Follower.followed(read);
        self->go();
      });
}

void TopicReader::answered(const log::TopicAnswer &answer,
                           std::string_view what, const fleet::TopicRead &read,
                           base::TimePoint since) {
  bool isReached = answer.Reached || answer.Expired;
  if (isReached)
    ToldAt = base::SystemClock().now();
  if (isReached != std::exchange(Reached, isReached))
    base::log(isReached ? base::LogLevel::Info : base::LogLevel::Warning,
              isReached ? "store regained" : "store lost",
              {{"topic", std::string(base::nameOf(log::TopicNames, Which))},
               {"read", std::string(what)},
               {"reason", answer.Reason.text()}});
  for (const auto &it : answer.Records)
    OnEvent.Taken(it);
  bool isWhole = answer.Reached && (what == "list" || read.Next >= answer.End);
  if (isWhole && OnEvent.Whole)
    OnEvent.Whole(since);
}

} // namespace radishcross::node
