#include <LibNode/ChangeSubmitter.h>

#include <LibBase/Hash.h>
#include <LibLog/Chunks.h>

#include <utility>

namespace radishcross::node {

namespace {

using admin::ChangeOutcome;
using log::ChangeStatus;
using log::ChangeStep;

ChangeOutcome rejected(const std::string &recordId, base::ResultCode code,
                       std::string reason) {
  ChangeOutcome out;
  out.Result = ChangeOutcome::Kind::Rejected;
  out.RecordId = recordId;
  out.Outcome.RecordId = recordId;
  out.Outcome.Code = code;
  out.Outcome.Reason = std::move(reason);
  return out;
}

ChangeOutcome toChangeOutcome(const std::string &recordId,
                              const ChangeStep &step) {
  ChangeOutcome out;
  out.RecordId = recordId;
  out.Outcome = step.Outcome;
  if (step.Status == ChangeStatus::Accepted)
    out.Result = ChangeOutcome::Kind::Accepted;
  if (step.Status == ChangeStatus::Rejected)
    out.Result = ChangeOutcome::Kind::Rejected;
  return out;
}

} // namespace

ChangeSubmitter::ChangeSubmitter(log::PlatformClient &platform,
                                 const base::Clock &clock,
                                 std::function<void()> readLogSoon)
    : Platform(&platform), Time(&clock), ReadLogSoon(std::move(readLogSoon)) {}

void ChangeSubmitter::submit(const log::Record &record, base::Duration timeout,
                             std::function<void(ChangeOutcome)> done) {
  auto pieces = log::splitRecord(record);
  if (pieces.empty())
    return done(rejected(record.Id, base::ResultCode::RecordTooLarge,
                         "the change is too large for the log"));
  auto now = Time->now();
  Pending pending{log::ChangeResolver(record.Id, pieces.size(), now,
                                      now + timeout, base::hash64(record.Id)),
                  std::move(pieces), false, std::move(done)};
  auto [it, isNew] = PendingChanges.try_emplace(record.Id, std::move(pending));
  if (!isNew)
    return pending.Done(
        rejected(record.Id, base::ResultCode::DuplicateRecord,
                 "a change with this id is already in progress"));
  performStep(record.Id);
}

void ChangeSubmitter::performStep(const std::string &recordId) {
  auto it = PendingChanges.find(recordId);
  if (it == PendingChanges.end())
    return;
  auto &change = it->second;
  if (change.Resolver.step().What == ChangeStep::Kind::Finish)
    return finish(it);
  if (change.Resolver.step().What == ChangeStep::Kind::Append &&
      !change.IsAppending)
    append(recordId, change);
}

void ChangeSubmitter::append(const std::string &recordId, Pending &change) {
  change.IsAppending = true;
  Platform->append(change.Pieces[change.Resolver.step().Piece],
                   [this, recordId](const log::AppendAnswer &answer) {
                     auto it = PendingChanges.find(recordId);
                     if (it == PendingChanges.end())
                       return;
                     it->second.IsAppending = false;
                     it->second.Resolver.appendEnded(answer, Time->now());
                     ReadLogSoon();
                     performStep(recordId);
                   });
}

std::vector<std::string> ChangeSubmitter::pendingIds() const {
  std::vector<std::string> out;
  out.reserve(PendingChanges.size());
  for (const auto &[id, change] : PendingChanges)
    out.push_back(id);
  return out;
}

void ChangeSubmitter::foldAdvanced(const log::Fold &fold) {
  for (auto &[id, change] : PendingChanges)
    change.Resolver.foldAdvanced(fold, Time->now());
  for (const auto &id : pendingIds())
    performStep(id);
}

void ChangeSubmitter::tick() {
  auto now = Time->now();
  for (auto &[id, change] : PendingChanges) {
    const auto &step = change.Resolver.step();
    if (step.What == ChangeStep::Kind::Wait && now >= step.WakeAt)
      change.Resolver.wake(now);
  }
  for (const auto &id : pendingIds())
    performStep(id);
}

void ChangeSubmitter::finish(Changes::iterator change) {
  auto out = toChangeOutcome(change->first, change->second.Resolver.step());
  auto done = std::move(change->second.Done);
  PendingChanges.erase(change);
  done(std::move(out));
}

} // namespace radishcross::node
