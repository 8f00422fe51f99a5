#include <LibLog/FoldHashVerifier.h>

#include <utility>

namespace radishcross::log {

namespace {

constexpr size_t MaximumHashReports = 4096;

} // namespace

void FoldHashVerifier::addBounded(std::deque<HashReport> &in,
                                  HashReport report) {
  in.push_back(std::move(report));
  if (in.size() > MaximumHashReports)
    in.pop_front();
}

void FoldHashVerifier::addOwnHash(Offset at, uint64_t hash) {
  addBounded(Own, {"", at, hash});
}

void FoldHashVerifier::addReportedHash(std::string_view source, Offset at,
                                       uint64_t hash) {
  addBounded(Others, {std::string(source), at, hash});
}

HashVerdict FoldHashVerifier::verify(std::string_view claimant, Offset at,
                                     uint64_t hash) const {
  for (auto it = Own.rbegin(); it != Own.rend(); ++it)
    if (it->At == at)
      return it->Hash == hash ? HashVerdict::Confirmed : HashVerdict::Refuted;
  bool confirmed = false;
  for (const auto &it : Others) {
    if (it.At != at || it.Source == claimant)
      continue;
    if (it.Hash != hash)
      return HashVerdict::Unconfirmed;
    confirmed = true;
  }
  return confirmed ? HashVerdict::Confirmed : HashVerdict::Unconfirmed;
}

} // namespace radishcross::log
