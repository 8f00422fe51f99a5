#include <LibFleet/Prober.h>

#include <utility>

namespace radishcross::fleet {

Prober::Prober(NodeId self, std::string dataCentre, ProbeSettings settings,
               uint64_t seed)
    : Self(std::move(self)), DataCentre(std::move(dataCentre)),
      Settings(settings), Rng(seed) {
  LastNumber = Rng.next() >> 1;
}

void Prober::beginRound(const MemberTable &table) {
  for (const auto &it : table.all()) {
    if (it.Identity.DataCentre != DataCentre || it.Identity.Id == Self)
      continue;
    if (isLive(it))
      Round.push_back(it.Identity.Id);
  }
  for (size_t n = Round.size(); n > 1; --n)
    std::swap(Round[n - 1], Round[Rng.below(n)]);
}

std::optional<NodeId> Prober::nextSubject(const MemberTable &table) {
  if (Round.empty())
    beginRound(table);
  while (!Round.empty()) {
    NodeId id = std::move(Round.back());
    Round.pop_back();
    const auto *member = table.find(id);
    if (member && isLive(*member))
      return id;
  }
  return std::nullopt;
}

ProbeAction Prober::next(const MemberTable &table, base::TimePoint now) {
  if (Current && !Current->IndirectSent &&
      now >= Current->Since + Settings.AckTimeout) {
    Current->IndirectSent = true;
    return {ProbeAction::Kind::PingIndirectly, Current->Subject,
            Current->Number};
  }
  if (Current && now >= Current->Since + Settings.Period) {
    auto lost = std::exchange(Current, std::nullopt);
    return {ProbeAction::Kind::Suspect, lost->Subject, lost->Number};
  }
  if (Current || now < NextProbe)
    return {};
  NextProbe = now + Settings.Period;
  auto subject = nextSubject(table);
  if (!subject)
    return {};
  Current = Outstanding{*subject, ++LastNumber, now, false};
  return {ProbeAction::Kind::Ping, *subject, LastNumber};
}

void Prober::acknowledged(const NodeId &subject, uint64_t number) {
  if (Current && Current->Number == number && Current->Subject == subject)
    Current.reset();
}

void Prober::shift(base::Duration pause) {
  NextProbe += pause;
  if (Current)
    Current->Since += pause;
}

} // namespace radishcross::fleet
