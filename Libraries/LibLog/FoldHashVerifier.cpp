#include <LibLog/FoldHashVerifier.h>

#include <utility>

namespace radishcross::log {

namespace {

constexpr size_t MaximumSightings = 4096;

} // namespace

void FoldWitness::keep(std::deque<Sighting> &in, Sighting sighting) {
  in.push_back(std::move(sighting));
  if (in.size() > MaximumSightings)
    in.pop_front();
}

void FoldWitness::noteOwn(Offset at, uint64_t hash) {
  keep(Own, {"", at, hash});
}

void FoldWitness::noteOther(std::string_view source, Offset at, uint64_t hash) {
  keep(Others, {std::string(source), at, hash});
}

Belief FoldWitness::judge(std::string_view claimant, Offset at,
                          uint64_t hash) const {
  for (auto it = Own.rbegin(); it != Own.rend(); ++it)
    if (it->At == at)
      return it->Hash == hash ? Belief::Confirmed : Belief::Refuted;
  bool confirmed = false;
  for (const auto &it : Others) {
    if (it.At != at || it.Source == claimant)
      continue;
    if (it.Hash != hash)
      return Belief::Unconfirmed;
    confirmed = true;
  }
  return confirmed ? Belief::Confirmed : Belief::Unconfirmed;
}

} // namespace radishcross::log
