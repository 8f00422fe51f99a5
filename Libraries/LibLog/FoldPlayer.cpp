#include <LibLog/FoldPlayer.h>
#include <LibSchema/StrictJson.h>

#include <utility>

namespace radishcross::log {

namespace {

constexpr schema::DocumentLimits StateLimits{.MaximumBytes = 64UL << 20,
                                             .MaximumDepth = 32};

trace::Outcome decided(const RecordOutcome &outcome, const Fold &fold) {
  return {
      static_cast<int64_t>(outcome.Code), static_cast<int64_t>(outcome.Version),
      static_cast<int64_t>(fold.hash()), static_cast<int64_t>(fold.offset())};
}

trace::Outcome decidedLoad(bool isValid, const Fold &fold) {
  return {isValid ? 1 : 0, static_cast<int64_t>(fold.offset()),
          static_cast<int64_t>(fold.hash()), 0};
}

trace::Entry startEntry(int64_t atMicroseconds, FoldEvent event) {
  trace::Entry out;
  out.AtMicroseconds = atMicroseconds;
  out.Source = trace::Module::Fold;
  out.Event = static_cast<uint8_t>(event);
  return out;
}

} // namespace

trace::Entry traceLoad(int64_t atMicroseconds, const Fold &fold) {
  auto out = startEntry(atMicroseconds, FoldEvent::Load);
  out.Text = schema::canonicalJson(fold.save());
  out.Decided = decidedLoad(true, fold);
  return out;
}

trace::Entry traceApply(int64_t atMicroseconds, const StoredRecord &record,
                        const RecordOutcome &outcome, const Fold &fold) {
  auto out = startEntry(atMicroseconds, FoldEvent::Apply);
  out.Numbers[0] = static_cast<int64_t>(record.At);
  out.Text = record.Bytes;
  out.Decided = decided(outcome, fold);
  return out;
}

trace::Outcome FoldPlayer::play(const trace::Entry &entry) {
  if (static_cast<FoldEvent>(entry.Event) == FoldEvent::Apply) {
    auto outcome =
        State.apply({static_cast<Offset>(entry.Numbers[0]), entry.Text});
    return decided(outcome, State);
  }
  base::LastReason reason;
  auto document = schema::parseStrictJson(entry.Text, StateLimits, reason);
  auto loaded = document ? Fold::load(*document, reason) : std::nullopt;
  bool isValid = loaded.has_value();
  State = isValid ? std::move(*loaded) : Fold();
  return decidedLoad(isValid, State);
}

} // namespace radishcross::log
