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

/// Events of trace entries, numbered after those of IdempotencyTable.
/// OwnerStart: window; text: node, data centre. Peer: alive, left gracefully;
/// text: node. CompleteSince: the time in microseconds. Verdict: whether the
/// node was paused; text: the key; outcome: kind, the owner's hash,
/// retry-after.
struct OwnershipEvent {
  enum Value : uint8_t { OwnerStart = 16, Peer, CompleteSince, Verdict };
};

/// Determines which node of the data centre owns an idempotency key, and
/// whether this node may act as its owner. The owner is the live member with
/// the highest rendezvous weight. A node runs a key's call only if no other
/// node can have run it within the window: it has owned the key itself for that
/// long without a long pause, and no member that would have owned the key has
/// been lost meanwhile. Otherwise it is undetermined whether the call ran.
/// Since a successor runs no calls for a whole window, an absence of less than
/// half a window is harmless: no other node has run this node's keys meanwhile.
class KeyOwnership {
public:
  /// Time within which the nodes of a data centre converge on the same view of
  /// their members.
  static constexpr base::Duration ConvergenceMargin = std::chrono::seconds(10);
  /// How long a lost member counts towards the majority.
  static constexpr base::Duration LostPeerRetention = std::chrono::hours(1);

  /// Whether this node may run a key's call.
  struct Verdict {
    enum class Kind : uint8_t {
      Own,          ///< This node owns the key and knows all its calls.
      Other,        ///< Node owns the key.
      Undetermined, ///< The call may have run at a node that is lost.
    };
    Kind What = Kind::Undetermined;
    fleet::NodeId Node;
    base::Address Mesh;
    base::Duration RetryAfter{}; ///< Undetermined: when this may have changed.
  };

  /// \p window: how long answers are stored and duplicates are detected.
  KeyOwnership(fleet::NodeId self, std::string dataCentre,
               base::Duration window, trace::Recorder &recorder);

  /// Updates the peers from the fleet's members.
  void membersChanged(const std::vector<fleet::Member> &members,
                      base::TimePoint now);

  /// Updates one other member of the data centre; public for replay.
  void peerChanged(const fleet::NodeId &node, bool alive, bool leftInOrder,
                   base::TimePoint now);

  /// States that no call can have run in the fleet before now, because it had
  /// no configuration. This node's knowledge of its keys is thus complete.
  void assumeNoEarlierCalls(base::TimePoint now);

  /// Sets the time since which this node knows all calls of its keys.
  void setCompleteSince(base::TimePoint from, base::TimePoint now);

  /// Records that this node is running. A long time between two calls counts as
  /// a pause of the process.
  void tick(base::TimePoint now);

  Verdict verdict(std::string_view key, base::TimePoint now) const;

  /// As verdict(), with \p paused given: whether the node has just been paused.
  Verdict verdictAfter(bool paused, std::string_view key,
                       base::TimePoint now) const;

  /// Encodes a verdict as the outcome of a trace entry.
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
  /// Time since which this node knows all calls of the keys that it owns.
  std::optional<base::TimePoint> CompleteSince;
  std::optional<base::TimePoint> MinoritySince;
};

} // namespace radishcross::calls
