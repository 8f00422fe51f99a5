#pragma once

#include <LibLog/FoldState.h>
#include <LibLog/Record.h>

namespace radishcross::log {

/// The rules by which a record changes the state. A rule depends only on the
/// state and the record, so that all nodes reach the same decision.
class FoldRules {
public:
  explicit FoldRules(FoldState &state) : State(state) {}

  /// Applies the record at the next offset.
  RecordOutcome apply(const StoredRecord &stored);

private:
  /// Input and output of one rule.
  struct Decision {
    const Record &Source;
    RecordOutcome &Outcome;
    AuditEntry &Audit;
    base::LastReason &Reason;
  };
  using Rule = bool (FoldRules::*)(Decision &decision);
  struct RuleRow;
  static const RuleRow Rules[];

  RecordOutcome decide(const Record &record, Offset at);
  RecordOutcome decideChunk(const Record &chunk, Offset at);
  void expireChunks(Offset at);
  bool refuse(Decision &decision, base::ResultCode code, std::string text);
  bool checkOwner(Decision &decision, const Configuration &configuration);
  bool checkAttachment(Decision &decision, const std::string &attachment,
                       const std::string &configuration);

  bool publish(Decision &decision);
  bool attach(Decision &decision);
  bool detach(Decision &decision);
  bool drain(Decision &decision);
  bool acceptUnchanged(Decision &decision);
  bool snapshot(Decision &decision);

  FoldState &State;
};

} // namespace radishcross::log
