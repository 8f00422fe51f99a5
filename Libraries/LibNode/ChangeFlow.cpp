#include <LibNode/ChangeFlow.h>

#include <utility>
#include <vector>

namespace radishcross::node {

using admin::ChangeOutcome;

ChangeFlow::ChangeFlow(log::PlatformClient &platform, const base::Clock &clock,
                       std::function<void()> readLogSoon)
    : Platform(&platform), Time(&clock), ReadLogSoon(std::move(readLogSoon)) {}

void ChangeFlow::change(const log::Record &record, base::Duration patience,
                        std::function<void(ChangeOutcome)> done) {
  Waiting[record.Id] = {Time->now() + patience, std::move(done)};
  Platform->append(log::encodeRecord(record),
                   [this, id = record.Id](const log::AppendAnswer &answer) {
                     appendEnded(id, answer);
                   });
}

void ChangeFlow::appendEnded(const std::string &recordId,
                             const log::AppendAnswer &answer) {
  if (answer.Outcome == log::AppendAnswer::Kind::Refused) {
    ChangeOutcome out;
    out.What = ChangeOutcome::Kind::Rejected;
    out.RecordId = recordId;
    out.Outcome.RecordId = recordId;
    out.Outcome.Code = answer.Reason.code();
    out.Outcome.Reason = answer.Reason.text();
    finish(recordId, std::move(out));
    return;
  }
  // Accepted and Unknown are treated alike: the fold alone tells the fate.
  ReadLogSoon();
}

void ChangeFlow::foldAdvanced(const log::Fold &fold) {
  std::vector<ChangeOutcome> ended;
  for (const auto &[id, pending] : Waiting) {
    auto outcome = fold.outcomeOf(id);
    if (!outcome)
      continue;
    bool isAccepted = outcome->Code == base::ResultCode::Ok;
    ended.push_back({isAccepted ? ChangeOutcome::Kind::Accepted
                                : ChangeOutcome::Kind::Rejected,
                     id, std::move(*outcome)});
  }
  for (auto &it : ended)
    finish(it.RecordId, it);
}

void ChangeFlow::tick() {
  std::vector<std::string> late;
  for (const auto &[id, pending] : Waiting)
    if (Time->now() >= pending.GivesUpAt)
      late.push_back(id);
  for (const auto &id : late) {
    ChangeOutcome out;
    out.RecordId = id;
    out.Outcome.RecordId = id;
    out.Outcome.Code = base::ResultCode::OutcomeUnknown;
    out.Outcome.Reason = "the record has not been seen in the log yet";
    finish(id, std::move(out));
  }
}

void ChangeFlow::finish(const std::string &recordId, ChangeOutcome outcome) {
  auto it = Waiting.find(recordId);
  if (it == Waiting.end())
    return;
  auto done = std::move(it->second.Done);
  Waiting.erase(it);
  done(std::move(outcome));
}

} // namespace radishcross::node
