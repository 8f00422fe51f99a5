#include <LibNode/StoredNodeRecord.h>

#include <LibBase/Logger.h>

#include <utility>

namespace radishcross::node {

namespace {

/// The minimum time between a failed write and the next one.
constexpr base::Duration RetryInterval = std::chrono::seconds(1);

} // namespace

StoredNodeRecord::StoredNodeRecord(log::KeyedStore &store, log::Topic topic,
                                   std::string node,
                                   std::function<void()> onStored)
    : Store(&store), Topic(topic), Node(std::move(node)),
      OnStored(std::move(onStored)) {}

void StoredNodeRecord::load(std::function<void(const Recalled &)> done) {
  IsBusy = true;
  Store->list(Topic, [weak = std::weak_ptr<bool>(LifetimeToken), this,
                      done = std::move(done)](const log::TopicAnswer &answer) {
    if (weak.expired())
      return;
    IsBusy = false;
    Recalled out{answer.Reached, {}, answer.Reason, {}};
    for (const auto &it : answer.Records) {
      if (it.Key == Node)
        out.Text = it.Value;
      else
        out.Others.push_back(it);
    }
    Stored = Desired = out.Text;
    done(out);
  });
}

void StoredNodeRecord::tick(base::TimePoint now) {
  if (IsBusy || isCurrent() || now < NextWrite)
    return;
  IsBusy = true;
  NextWrite = now + RetryInterval;
  Store->put(Topic, Node, Desired,
             [weak = std::weak_ptr<bool>(LifetimeToken), this,
              text = Desired](const log::PutAnswer &answer) {
               if (!weak.expired())
                 writeEnded(text, answer);
             });
}

void StoredNodeRecord::writeEnded(const std::string &text,
                                  const log::PutAnswer &answer) {
  IsBusy = false;
  if (answer.Outcome == log::PutAnswer::Kind::Accepted) {
    Stored = text;
    NextWrite = {};
    OnStored();
    return;
  }
  base::log(base::LogLevel::Warning, "record was not written",
            {{"topic", std::string(base::nameOf(log::TopicNames, Topic))},
             {"record", text},
             {"reason", answer.Reason.text()}});
}

} // namespace radishcross::node
