#include <LibHttp/MemoryLedger.h>

#include <LibBase/Logger.h>

#include <string>
#include <utility>

namespace radishcross::http {

namespace {

/// Minimum interval between two log lines, as clients can cause any number.
constexpr base::Duration LineInterval = std::chrono::seconds(1);

} // namespace

MemoryHold::MemoryHold(std::shared_ptr<MemoryLedger> ledger, HoldKind kind,
                       std::function<void()> onGiveWay)
    : Ledger(std::move(ledger)) {
  if (!Ledger)
    return;
  Id = Ledger->Account.open(kind, Ledger->now());
  if (Ledger->OnGiveWay.size() <= Id)
    Ledger->OnGiveWay.resize(Id + 1);
  Ledger->OnGiveWay[Id] = std::move(onGiveWay);
}

MemoryHold::MemoryHold(MemoryHold &&other) noexcept
    : Ledger(std::move(other.Ledger)), Id(other.Id) {}

MemoryHold &MemoryHold::operator=(MemoryHold &&other) noexcept {
  if (this != &other) {
    release();
    Ledger = std::move(other.Ledger);
    Id = other.Id;
  }
  return *this;
}

bool MemoryHold::claim(size_t bytes) {
  if (!Ledger)
    return true;
  auto result = Ledger->Account.claim(Id, bytes, Ledger->now());
  Ledger->apply(result);
  if (!result.Granted)
    Ledger->note("no-room");
  return result.Granted;
}

void MemoryHold::charge(size_t bytes) {
  if (Ledger)
    Ledger->apply(Ledger->Account.charge(Id, bytes, Ledger->now()));
}

void MemoryHold::progressed(size_t moved) {
  if (Ledger)
    Ledger->Account.progressed(Id, moved, Ledger->now());
}

void MemoryHold::pause() {
  if (Ledger)
    Ledger->Account.pause(Id, Ledger->now());
}

void MemoryHold::resume() {
  if (Ledger)
    Ledger->Account.resume(Id, Ledger->now());
}

void MemoryHold::startRunning() {
  if (!Ledger)
    return;
  Ledger->Account.startRunning(Id);
  Ledger->OnGiveWay[Id] = nullptr;
}

void MemoryHold::release() {
  if (!Ledger)
    return;
  Ledger->OnGiveWay[Id] = nullptr;
  Ledger->Account.close(Id);
  Ledger.reset();
}

bool MemoryLedger::admits(size_t bytes) {
  bool isAdmitted = Account.canEverHold(bytes);
  if (!isAdmitted)
    note("announced-too-much");
  return isAdmitted;
}

void MemoryLedger::apply(const MemoryAccount::Claim &claim) {
  for (MemoryAccount::HoldId it : claim.GiveWay) {
    note("gave-way");
    if (auto call = std::exchange(OnGiveWay[it], nullptr))
      call();
  }
}

/// Counts and logs one message that is not held.
void MemoryLedger::note(std::string_view reason) {
  if (!Counters)
    return;
  Counters->counter("memory_refusals_total{reason=\"" + std::string(reason) +
                    "\"}") += 1;
  auto at = now();
  if (LastLine && at - *LastLine < LineInterval) {
    ++Untold;
    return;
  }
  LastLine = at;
  base::log(base::LogLevel::Warning, "memory refused",
            {{"reason", std::string(reason)},
             {"held_bytes", std::to_string(Account.held())},
             {"untold", std::to_string(std::exchange(Untold, 0))}});
}

} // namespace radishcross::http
