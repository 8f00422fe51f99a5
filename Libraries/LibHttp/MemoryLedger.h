#pragma once

#include <LibBase/Metrics.h>
#include <LibHttp/MemoryAccount.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace radishcross::http {

class MemoryLedger;

/// The bytes of one message in the account of its process; given back when it
/// is destroyed. Without a ledger everything is granted.
class MemoryHold {
public:
  MemoryHold() = default;
  /// \p onGiveWay is called at most once, when the bytes have to be freed.
  MemoryHold(std::shared_ptr<MemoryLedger> ledger, HoldKind kind,
             std::function<void()> onGiveWay);
  ~MemoryHold() { release(); }
  MemoryHold(MemoryHold &&other) noexcept;
  MemoryHold &operator=(MemoryHold &&other) noexcept;
  MemoryHold(const MemoryHold &) = delete;
  MemoryHold &operator=(const MemoryHold &) = delete;

  /// Asks for \p bytes in total; false if they may not be held.
  bool claim(size_t bytes);
  /// Counts bytes that are held already.
  void charge(size_t bytes);
  void progressed(size_t moved);
  /// The message waits for this node until resume(), not for its client.
  void pause();
  void resume();
  /// The request was read; from here on it does not give way.
  void startRunning();
  void release();

private:
  std::shared_ptr<MemoryLedger> Ledger;
  MemoryAccount::HoldId Id = 0;
};

/// The account of one process: tells holds to give way, counts and logs.
class MemoryLedger {
public:
  /// \p counters must outlive the servers and connections that use the ledger.
  MemoryLedger(const MemoryLimits &limits, base::Metrics &counters)
      : Account(limits), Counters(&counters) {}

  /// Returns whether a request of \p bytes can be held in addition to what
  /// never gives way; counts a refusal.
  bool admits(size_t bytes);
  size_t held() const { return Account.held(); }
  size_t largest() const { return Account.largest(); }

  /// Stops counting, before the counters are destroyed.
  void detach() { Counters = nullptr; }

private:
  friend class MemoryHold;

  void apply(const MemoryAccount::Claim &claim);
  void note(std::string_view reason);
  base::TimePoint now() const { return base::SystemClock().now(); }

  MemoryAccount Account;
  base::Metrics *Counters;
  std::vector<std::function<void()>> OnGiveWay; ///< By hold.
  std::optional<base::TimePoint> LastLine;
  uint64_t Untold = 0; ///< Not logged since the last line.
};

} // namespace radishcross::http
