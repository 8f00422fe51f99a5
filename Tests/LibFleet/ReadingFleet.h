#pragma once

#include <LibFleet/FakeMesh.h>
#include <LibFleet/RecordFreshness.h>
#include <LibFleet/Rendezvous.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace radishcross::fleet {

/// Nodes that read the operator's record as RecordFreshness decides and pull
/// versions from peers that report them. Counts the calls to the store.
class ReadingFleet : public FakeMesh {
public:
  /// How the store answers a node. Reads that are open while it is silent are
  /// never answered.
  enum class Store : uint8_t { Serves, Refuses, Silent };

  /// Longest time until each node holds a published version.
  static constexpr base::Duration Bound = std::chrono::seconds(2);

  explicit ReadingFleet(uint64_t seed) : FakeMesh(seed) {}

  struct Reader {
    RecordFreshness Fresh;
    uint64_t Held = 0;
    bool IsListed = false;
    base::TimePoint ReadEnds{}; ///< End of the outstanding read.
    base::TimePoint NextRead{}; ///< Time of the next read.
    base::TimePoint BeganAt{};
    bool IsReading = false;
    bool IsFollowing = false;
    bool IsLost = false;          ///< The open read will not be answered.
    base::TimePoint NextRepeat{}; ///< Of the open read.
    base::TimePoint FailsAt{};    ///< The same.
    uint64_t Pulled = 0;          ///< Version being pulled from a peer.
    base::TimePoint PullEnds{};
    uint32_t Failures = 0;
    ReadDuty Duty{};
    std::optional<uint64_t> Answer{}; ///< Newest version in the store's answer.
    base::TimePoint AnsweredAt{};
  };

  void start(size_t n, const std::string &dataCentre,
             uint64_t incarnation = 1000) {
    add(n, dataCentre, incarnation);
    Readers.erase(n);
    Readers.emplace(n, Reader{RecordFreshness({Bound}, n + incarnation, Now)});
    StoreModes.try_emplace(n, Store::Serves);
  }

  void publish() { PublishedAt[++Version] = Now; }

  /// latest() returns the longest time that a node served by the store took to
  /// hold a version; behind() counts the nodes that are up and lack the newest.
  base::Duration latest() const { return Latest; }
  size_t behind() const {
    return std::count_if(Readers.begin(), Readers.end(), [&](const auto &it) {
      return !Down.contains(it.first) && it.second.Held < Version;
    });
  }

  /// Returns the node that follows the record for a data centre.
  size_t readerOf(const std::string &dataCentre) const {
    for (const auto &[n, node] : Nodes)
      if (node.self().Identity.DataCentre == dataCentre && !Down.contains(n) &&
          rankAt(n).Rank == 0)
        return n;
    return 0;
  }

  void setStore(Store mode) {
    for (auto &[n, it] : StoreModes)
      it = mode;
  }

  std::map<size_t, Reader> Readers;
  std::map<size_t, Store> StoreModes;
  std::set<size_t> Frozen;
  /// How long the store's answers are on their way to a node.
  std::map<size_t, base::Duration> AnswerDelays;
  uint64_t Version = 0;
  uint64_t Calls = 0;
  bool IsMeasured = true;

protected:
  void step() override {
    for (auto &[n, it] : Readers)
      if (!Down.contains(n) && !Frozen.contains(n))
        advance(n, it);
  }

  void arrived(size_t from, size_t to, const GossipMessage &message) override {
    auto &it = Readers.at(to);
    const auto &report = message.Summary.External;
    if (Frozen.contains(to) || Frozen.contains(from))
      return;
    it.Fresh.reported(report, Now);
    if (report.Version > std::max(it.Held, it.Pulled)) {
      it.Pulled = report.Version;
      it.PullEnds = Now + PullTime;
    }
  }

private:
  static constexpr base::Duration PullTime = std::chrono::milliseconds(40);
  static constexpr base::Duration CallTime = std::chrono::milliseconds(10);
  /// When an unanswered read is repeated and when it fails.
  static constexpr base::Duration FirstRepeat = Bound * 3 / 10;
  static constexpr base::Duration RepeatSpacing = Bound / 2;
  static constexpr base::Duration ReadTimeout = std::chrono::seconds(3);

  ReaderRank rankAt(size_t n) const {
    const auto &node = Nodes.at(n);
    const auto &self = node.self().Identity;
    return readerRank(node.table().all(), self.DataCentre, self.Id);
  }

  void advance(size_t n, Reader &it) {
    if (it.Pulled > it.Held && Now >= it.PullEnds)
      hold(n, it, it.Pulled);
    if (it.IsReading)
      endRead(n, it);
    else if (Now >= it.NextRead)
      beginRead(n, it);
    auto report = it.Fresh.report(Now);
    Nodes.at(n).setDigest({0, 0, 0, 0, true, report});
    if (it.Fresh.takePendingPush())
      post(n, {Nodes.at(n).pushDigest(), {}});
  }

  void beginRead(size_t n, Reader &it) {
    it.Duty = it.Fresh.duty(rankAt(n), Now);
    if (it.Duty.What == ReadDuty::Kind::None) {
      it.IsListed = false;
      return;
    }
    ++Calls;
    it.IsReading = true;
    it.BeganAt = Now;
    it.IsFollowing = it.IsListed;
    auto hold = it.IsFollowing ? it.Duty.LongPoll : base::Duration::zero();
    it.ReadEnds = Now + CallTime + hold;
    it.NextRepeat = Now + hold + FirstRepeat;
    it.FailsAt = Now + hold + ReadTimeout;
    it.IsLost = false;
  }

  void repeatLostRead(size_t n, Reader &it) {
    if (Now >= it.FailsAt)
      return endFailedRead(it);
    if (Now < it.NextRepeat)
      return;
    ++Calls;
    it.NextRepeat = Now + RepeatSpacing;
    it.IsLost = StoreModes.at(n) == Store::Silent;
    it.IsFollowing = false;
    it.BeganAt = Now;
    it.ReadEnds = Now + CallTime;
  }

  void endFailedRead(Reader &it) {
    it.IsReading = it.IsListed = false;
    it.NextRead =
        Now + std::min<base::Duration>(std::chrono::milliseconds(200) *
                                           (1U << std::min(it.Failures++, 8U)),
                                       it.Duty.LongestPause);
  }

  void endRead(size_t n, Reader &it) {
    it.IsLost |= StoreModes.at(n) == Store::Silent;
    if (it.IsLost)
      return repeatLostRead(n, it);
    bool isRefused = StoreModes.at(n) == Store::Refuses;
    bool hasNews =
        it.IsFollowing && Version > it.Held && Now >= it.BeganAt + CallTime;
    if (!it.Answer && Now < it.ReadEnds && !isRefused && !hasNews)
      return;
    if (isRefused)
      return endFailedRead(it);
    if (!it.Answer) {
      it.Answer = Version;
      it.AnsweredAt = Now;
    }
    if (Now - it.AnsweredAt < AnswerDelays[n])
      return;
    it.IsReading = false;
    it.Failures = 0;
    it.IsListed = true;
    auto version = *std::exchange(it.Answer, std::nullopt);
    bool isEmpty = it.IsFollowing && version <= it.Held;
    if (version > it.Held) {
      hold(n, it, version);
      it.NextRead = Now + it.Duty.Spacing;
    }
    it.Fresh.readConfirmed((isEmpty ? it.AnsweredAt : Now) - CallTime);
  }

  void hold(size_t n, Reader &it, uint64_t version) {
    if (IsMeasured && StoreModes.at(n) == Store::Serves)
      for (auto missed = it.Held + 1; missed <= version; ++missed)
        Latest = std::max(Latest, Now - PublishedAt.at(missed));
    it.Held = version;
    it.Fresh.setHeldVersion(version);
  }

  std::map<uint64_t, base::TimePoint> PublishedAt;
  base::Duration Latest{};
};

} // namespace radishcross::fleet
