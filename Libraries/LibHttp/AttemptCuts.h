#pragma once

#include <LibBase/Clock.h>
#include <LibCalls/CallBroker.h>
#include <LibHttp/Server.h>

#include <functional>
#include <map>
#include <memory>

namespace radishcross::http {

class CuttableAttempt;

/// The attempts in flight that may be cut for a second one, by the time at
/// which the broker is to be asked for it.
class AttemptCuts {
public:
  using MayCut = std::function<bool(calls::CallHandle)>;

  /// Asks \p mayCut of each attempt whose time has come, and cuts those for
  /// which it returns true; the others come again after the same time.
  void tick(base::TimePoint now, const MayCut &mayCut);

private:
  friend class CuttableAttempt;
  std::multimap<base::TimePoint, CuttableAttempt *> Due;
};

/// One attempt that may be cut. Its watch tells that the caller has gone, or
/// that the attempt is cut.
class CuttableAttempt {
public:
  CuttableAttempt(AttemptCuts &cuts, calls::CallHandle call,
                  base::Duration after, base::TimePoint now,
                  std::shared_ptr<ClientWatch> caller);
  ~CuttableAttempt();
  CuttableAttempt(const CuttableAttempt &) = delete;
  CuttableAttempt &operator=(const CuttableAttempt &) = delete;

  const std::shared_ptr<ClientWatch> &watch() const { return Own; }
  bool wasCut() const { return Cut; }

private:
  friend class AttemptCuts;
  void listAt(base::TimePoint time);
  void unlist();
  void cut();

  AttemptCuts &Cuts;
  calls::CallHandle Call;
  base::Duration After;
  std::shared_ptr<ClientWatch> Caller;
  std::shared_ptr<ClientWatch> Own = std::make_shared<ClientWatch>();
  std::multimap<base::TimePoint, CuttableAttempt *>::iterator Place;
  bool Cut = false;
};

} // namespace radishcross::http
