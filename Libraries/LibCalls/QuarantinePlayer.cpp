#include <LibCalls/QuarantinePlayer.h>

#include <LibBase/EnumNames.h>

namespace radishcross::calls {

namespace {

constexpr base::EnumName<QuarantinePlayer::Event> EventNames[] = {
    {QuarantinePlayer::Crashed, "crashed"},
    {QuarantinePlayer::Cleared, "cleared"},
    {QuarantinePlayer::Learned, "learned"},
    {QuarantinePlayer::LearnedSuspicion, "learned-suspicion"},
    {QuarantinePlayer::Lifted, "lifted"},
};

} // namespace

trace::Outcome QuarantinePlayer::play(const trace::Entry &entry) {
  const base::TimePoint now{base::Duration(entry.AtMicroseconds)};
  const auto fingerprint = static_cast<uint64_t>(entry.Numbers[0]);
  bool out = true;
  switch (static_cast<Event>(entry.Event)) {
  case Crashed:
    out = Replayed.crashed(fingerprint, entry.Text, now);
    break;
  case Cleared:
    out = Replayed.clear(fingerprint, entry.Text, now);
    break;
  case Learned:
    Replayed.applyRemote(fingerprint, entry.Text,
                         base::Duration(entry.Numbers[1]), now);
    break;
  case LearnedSuspicion:
    out = Replayed.applyRemoteSuspect(fingerprint, entry.Text, now);
    break;
  case Lifted:
    out = Replayed.lift(fingerprint);
    break;
  }
  return {out ? 1 : 0};
}

std::string_view QuarantinePlayer::eventName(uint8_t event) const {
  return base::nameOf(EventNames, static_cast<QuarantinePlayer::Event>(event));
}

} // namespace radishcross::calls
