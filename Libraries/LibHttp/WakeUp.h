#pragma once

#include <functional>
#include <utility>

namespace radishcross::http {

/// Lets whoever ends the work of a coroutine end its current wait as well.
class WakeUp {
public:
  /// Ends the current wait, if there is one.
  void wake() {
    if (auto it = std::exchange(OnWake, nullptr))
      it();
  }

  /// A wait that \p onWake ends, for the lifetime of this object.
  class Wait {
  public:
    Wait(WakeUp &owner, std::function<void()> onWake) : Owner(owner) {
      Owner.OnWake = std::move(onWake);
    }
    ~Wait() { Owner.OnWake = nullptr; }
    Wait(const Wait &) = delete;
    Wait &operator=(const Wait &) = delete;

  private:
    WakeUp &Owner;
  };

private:
  std::function<void()> OnWake;
};

} // namespace radishcross::http
