#include <LibCalls/QuarantinePlayer.h>

namespace radishcross::calls {

trace::Outcome QuarantinePlayer::play(const trace::Entry &entry) {
  const base::TimePoint now{base::Duration(entry.AtMicroseconds)};
  const auto fingerprint = static_cast<uint64_t>(entry.Numbers[0]);
  bool out = true;
  switch (static_cast<Event>(entry.Event)) {
  case Crashed:
    out = Replayed.crashed(fingerprint, entry.Text, now);
    break;
  case Cleared:
    out = Replayed.clear(fingerprint, now);
    break;
  case Learned:
    Replayed.learn(fingerprint, entry.Text, base::Duration(entry.Numbers[1]),
                   now);
    break;
  case LearnedSuspicion:
    out = Replayed.learnSuspicion(fingerprint, entry.Text, now);
    break;
  case Lifted:
    out = Replayed.lift(fingerprint);
    break;
  }
  return {out ? 1 : 0};
}

} // namespace radishcross::calls
