#pragma once

#include <LibCalls/IdempotencyTable.h>
#include <LibCalls/KeyOwnership.h>
#include <LibTrace/Player.h>

#include <optional>
#include <string_view>

namespace radishcross::calls {

/// Replays the table of idempotency keys and their ownership; see
/// IdempotencyEvent and OwnershipEvent. Answers are not recorded; a stored
/// answer is replaced by blanks of the same length.
class IdempotencyPlayer final : public trace::Player {
public:
  trace::Outcome play(const trace::Entry &entry) override;
  std::string_view eventName(uint8_t event) const override;

private:
  trace::Outcome finished(const trace::Entry &entry);
  trace::Outcome playOwner(const trace::Entry &entry);

  trace::NullRecorder Ignored;
  std::optional<IdempotencyTable> Replayed;
  std::optional<KeyOwnership> Owners;
};

} // namespace radishcross::calls
