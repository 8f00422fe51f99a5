#pragma once

#include <LibBase/Clock.h>

#include <memory>
#include <string_view>
#include <utility>

namespace radishcross::tenants {

/// Whether a request is within its tenant's allotment.
struct AllotmentVerdict {
  bool IsGranted = true;
  base::Duration RetryAfter{}; ///< Until a token is expected, if refused.
  /// Refused, but tokens have been asked for: retake() may succeed within
  /// AskTime.
  bool IsAsking = false;
};

/// Is told when requests that wait for tokens should look for them.
class TokenListener {
public:
  virtual ~TokenListener() = default;

  /// An answer has come for the tokens of \p tenant: retake() may succeed, or
  /// say that there are none.
  virtual void tokensArrived(std::string_view tenant) = 0;
};

/// The allotments of tenants, as one node asks for them.
class AllotmentPort {
public:
  /// Longest time that a request waits for tokens that are being asked for.
  static constexpr base::Duration AskTime = std::chrono::milliseconds(150);

  virtual ~AllotmentPort() = default;

  /// Takes one token of the tenant's allotment for a request.
  virtual AllotmentVerdict take(std::string_view tenant,
                                base::TimePoint now) = 0;

  /// Takes a token for a request that take() has refused while it was asking.
  virtual AllotmentVerdict retake(std::string_view tenant,
                                  base::TimePoint now) = 0;

  /// A request that take() has refused while it was asking waits no longer: its
  /// caller has left, so it counts as neither granted nor refused.
  virtual void leave(std::string_view tenant) = 0;

  /// Gives back the token of a request that was surely not run.
  virtual void giveBack(std::string_view tenant, base::TimePoint now) = 0;

  /// Sets who is told of arriving tokens.
  void setListener(std::weak_ptr<TokenListener> listener) {
    Listener = std::move(listener);
  }

protected:
  void tellArrived(std::string_view tenant) const {
    if (auto it = Listener.lock())
      it->tokensArrived(tenant);
  }

private:
  std::weak_ptr<TokenListener> Listener;
};

} // namespace radishcross::tenants
