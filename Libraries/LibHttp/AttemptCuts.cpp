#include <LibHttp/AttemptCuts.h>

#include <utility>

namespace radishcross::http {

void AttemptCuts::tick(base::TimePoint now, const MayCut &mayCut) {
  while (!Due.empty() && Due.begin()->first <= now) {
    auto &attempt = *Due.begin()->second;
    attempt.unlist();
    if (mayCut(attempt.Call))
      attempt.cut();
    else
      attempt.listAt(now + attempt.After);
  }
}

CuttableAttempt::CuttableAttempt(AttemptCuts &cuts, calls::CallHandle call,
                                 base::Duration after, base::TimePoint now,
                                 std::shared_ptr<ClientWatch> caller)
    : Cuts(cuts), Call(call), After(after), Caller(std::move(caller)) {
  Caller->OnGone = [own = Own] { own->clientGone(); };
  listAt(now + After);
}

CuttableAttempt::~CuttableAttempt() {
  unlist();
  Caller->OnGone = nullptr;
}

void CuttableAttempt::listAt(base::TimePoint time) {
  Place = Cuts.Due.emplace(time, this);
}

void CuttableAttempt::unlist() {
  if (Place != Cuts.Due.end())
    Cuts.Due.erase(Place);
  Place = Cuts.Due.end();
}

/// The attempt itself ends later, from the loop.
void CuttableAttempt::cut() {
  Cut = true;
  Own->clientGone();
}

} // namespace radishcross::http
