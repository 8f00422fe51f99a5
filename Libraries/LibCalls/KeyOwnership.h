#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibFleet/Member.h>
#include <LibTrace/Recorder.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::calls {

/// Events of a trace's entries, after those of the table of keys. OwnerStart:
/// window; text: node, data centre. Peer: alive, left in order; text: node.
/// CompleteSince: the time in microseconds. Verdict: whether the node was
/// paused; text: the key; decides kind, the owner's hash, retry-after.
struct OwnershipEvent {
  enum Value : uint8_t { OwnerStart = 16, Peer, CompleteSince, Verdict };
};

/// Which node of the data centre owns an idempotency key, and whether this node
/// may act as its owner. The owner is the living member with the highest
/// rendezvous weight. A node runs a key's call only when no other node can have
/// run it within the window: it has itself owned the key for that long without
/// a long pause, and no member that would have owned the key was lost
/// meanwhile. Otherwise it cannot say whether the call ran. Since a successor
/// is silent for a whole window, an absence of less than half a window does no
/// harm: nobody has run this node's keys meanwhile.
class KeyOwnership {
public:
  /// Time within which the nodes of a data centre come to the same view.
  static constexpr base::Duration ConvergenceMargin = std::chrono::seconds(10);
  /// A lost member counts for this long towards the majority.
  static constexpr base::Duration LostPeerRetention = std::chrono::hours(1);

  /// What this node may do for a key.
  struct Verdict {
    enum class Kind : uint8_t {
      Own,          ///< This node owns the key and knows all that was run.
      Other,        ///< Node owns the key.
      Undetermined, ///< The call may have run at a node that is lost.
    };
    Kind What = Kind::Undetermined;
    fleet::NodeId Node;
    base::Address Mesh;
    base::Duration RetryAfter{}; ///< Undetermined: when this may have changed.
  };

  /// \p window is the time for which answers are kept and resends recognised.
  KeyOwnership(fleet::NodeId self, std::string dataCentre,
               base::Duration window, trace::Recorder &recorder);

  /// Takes the fleet's members.
  void membersChanged(const std::vector<fleet::Member> &members,
                      base::TimePoint now);

  /// Takes what became of one other member of the data centre; for replay.
  void peerChanged(const fleet::NodeId &node, bool alive, bool leftInOrder,
                   base::TimePoint now);

  /// Tells that no call can have run in the fleet before now, because it had no
  /// configuration: this node knows all there is to know.
  void assumeNoEarlierCalls(base::TimePoint now);

  /// Sets the time from which this node knows all calls of its keys.
  void setCompleteSince(base::TimePoint from, base::TimePoint now);

  /// Notes that this node runs; called often. A gap is a pause.
  void tick(base::TimePoint now);

  Verdict verdict(std::string_view key, base::TimePoint now) const;

  /// As verdict(), where it is given whether the node was paused just now.
  Verdict verdictAfter(bool paused, std::string_view key,
                       base::TimePoint now) const;

  /// Returns a verdict in the form of a trace's entry.
  static trace::Outcome outcomeOf(const Verdict &verdict);

private:
  struct Peer {
    base::Address Mesh;
    bool Alive = false;
    bool LeftInOrder = false;
    base::TimePoint LostAt{};
  };
  void majorityChanged(base::TimePoint now);
  void recordEvent(OwnershipEvent::Value event, const trace::Inputs &numbers,
                   std::string_view text, const trace::Outcome &decided,
                   base::TimePoint now) const;
  bool hasMajority() const;
  base::Duration requiredHistory() const { return Window + ConvergenceMargin; }
  base::Duration maximumPause() const { return Window / 2; }

  fleet::NodeId Self;
  std::string DataCentre;
  base::Duration Window;
  trace::Recorder *Record;
  std::map<fleet::NodeId, Peer> Peers;
  std::optional<base::TimePoint> LastTick;
  /// From then on this node knows all calls of the keys that it owns.
  std::optional<base::TimePoint> CompleteSince;
  std::optional<base::TimePoint> MinoritySince;
};

} // namespace radishcross::calls
