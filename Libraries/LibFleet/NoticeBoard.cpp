#include <LibFleet/NoticeBoard.h>

#include <algorithm>
#include <utility>

namespace radishcross::fleet {

namespace {

constexpr size_t NoticeOverheadBytes = 32;

base::Duration lifetimeOf(const Notice &notice) {
  return std::min<base::Duration>(
      std::chrono::milliseconds(notice.LifetimeMilliseconds),
      NoticeBoard::MaximumLifetime);
}

uint32_t millisecondsLeft(base::TimePoint expires, base::TimePoint now) {
  auto left = std::chrono::ceil<std::chrono::milliseconds>(expires - now);
  return static_cast<uint32_t>(std::max<int64_t>(left.count(), 0));
}

} // namespace

bool NoticeBoard::post(const Notice &notice, base::TimePoint now) {
  if (notice.Topic.empty() || notice.Topic.size() > MaximumTopicBytes ||
      notice.Text.size() > MaximumTextBytes || notice.LifetimeMilliseconds == 0)
    return false;
  auto it = Posted.find(notice.Topic);
  if (it != Posted.end() && it->second.Content.Revision >= notice.Revision)
    return false;
  if (it == Posted.end() && Posted.size() >= MaximumNotices)
    return false;
  bool wasUnsent = it != Posted.end() && it->second.Transmissions == 0;
  Posted[notice.Topic] = {notice, now + lifetimeOf(notice), 0, {}};
  UnsentCount += wasUnsent ? 0 : 1;
  NewNotices.push_back(notice);
  return true;
}

bool NoticeBoard::mustRepeat(const Entry &entry, base::TimePoint now) const {
  return now - entry.LastSent >= RepeatInterval &&
         entry.Expires - now >= MinimumTimeLeft;
}

uint64_t NoticeBoard::revisionOf(const std::string &topic) const {
  auto it = Posted.find(topic);
  return it == Posted.end() ? 0 : it->second.Content.Revision;
}

std::vector<Notice> NoticeBoard::toSend(size_t room, uint32_t limit,
                                        base::TimePoint now) {
  std::vector<Entry *> order;
  std::vector<Entry *> repeated;
  for (auto &[topic, entry] : Posted) {
    if (entry.Transmissions < limit && entry.Expires > now)
      order.push_back(&entry);
    else if (mustRepeat(entry, now))
      repeated.push_back(&entry);
  }
  std::stable_sort(order.begin(), order.end(), [](auto *a, auto *b) {
    return a->Transmissions < b->Transmissions;
  });
  std::stable_sort(repeated.begin(), repeated.end(),
                   [](auto *a, auto *b) { return a->LastSent < b->LastSent; });
  repeated.resize(std::min(repeated.size(), MaximumRepeats));
  order.insert(order.end(), repeated.begin(), repeated.end());
  std::vector<Notice> result;
  for (auto *it : order) {
    size_t bytes = it->Content.Topic.size() + it->Content.Text.size() +
                   NoticeOverheadBytes;
    if (bytes > room)
      continue;
    room -= bytes;
    UnsentCount -= it->Transmissions == 0 ? 1 : 0;
    ++it->Transmissions;
    it->LastSent = now;
    result.push_back(it->Content);
    result.back().LifetimeMilliseconds = millisecondsLeft(it->Expires, now);
  }
  return result;
}

std::vector<Notice> NoticeBoard::takeNew() {
  return std::exchange(NewNotices, {});
}

void NoticeBoard::expire(base::TimePoint now) {
  for (auto it = Posted.begin(); it != Posted.end();) {
    if (it->second.Expires > now) {
      ++it;
      continue;
    }
    UnsentCount -= it->second.Transmissions == 0 ? 1 : 0;
    it = Posted.erase(it);
  }
}

} // namespace radishcross::fleet
